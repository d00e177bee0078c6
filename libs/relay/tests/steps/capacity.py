"""Steps of capacity.feature: readiness by load."""

from __future__ import annotations

import itertools
import random
import socket
import threading
import time
from http.client import HTTPConnection
from types import SimpleNamespace
from typing import Any

import attrs
import msgpack
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_http import start_server
from gypsumrelay_relay.caller_server import CallerChannel, serve_probes
from gypsumrelay_relay.capacity import (
    Change,
    InstanceCapacity,
    Readiness,
    Reading,
    Usage,
    ZoneView,
    compute_usage,
    overloaded_resources,
    update,
    zone_view,
)
from gypsumrelay_relay.capacity.readiness import LOADED_SHARES
from gypsumrelay_relay.capacity.watching import CapacityWatch
from gypsumrelay_relay.coordination.conversion import from_wire, to_wire
from gypsumrelay_relay.coordination.messages import PlacementEnded
from gypsumrelay_relay.heartbeats import pack, unpack
from gypsumrelay_relay.membership import (
    Member,
    Members,
    record_heartbeat,
)
from gypsumrelay_relay.metrics import RelayMetrics
from gypsumrelay_relay.probes import is_ready
from gypsumrelay_settings import (
    CapacitySettings,
    RelayInstance,
    RelaySettings,
    StoreSettings,
    TelemetrySettings,
)
from gypsumrelay_telemetry import new_metrics
from gypsumrelay_wire import PlaceEnded, decode, encode

STEP = 0.25
HEARTBEAT_STEPS = 2
EVENT = b'data: x\n\n'
EVENTS = 20
EVENT_SECONDS = 0.05


@attrs.define
class Trace:
    """A driven relay with its answers at each step."""

    readiness: Readiness
    now: float
    zone: ZoneView
    ready: list[bool] = attrs.field(factory=list)
    changes: list[Change] = attrs.field(factory=list)

    def drive(self, usage: Usage) -> None:
        """Advance by one measurement."""
        self.now += STEP
        changed = update(self.readiness, usage, self.zone, self.now)
        self.changes.extend(changed)
        self.ready.append(self.readiness.is_ready)


@given('a relay in a zone of {total:d} relays that started {age:g} seconds ago')
def give_relay(context: Any, total: int, age: float) -> None:
    context.trace = Trace(Readiness(100), 100, ZoneView(total, 0))
    for _ in range(int(age / STEP)):
        context.trace.drive(Usage())


@when('{count:d} others are {state}')
def load_others(context: Any, count: int, state: str) -> None:
    own = Member('own', 'a', '10.0.0.1', availability_zone='zone')
    total = context.trace.zone.total
    others = [
        attrs.evolve(own, name=f'm{number}') for number in range(total - 1)
    ]
    if state == 'dead':
        context.trace.zone = zone_view(own, others, others[count:])
        return
    field = 'is_loaded' if state == 'loaded' else 'leaving'
    others = [
        attrs.evolve(member, **{field: number < count})
        for number, member in enumerate(others)
    ]
    context.trace.zone = zone_view(own, others, others)
    assert context.trace.zone == ZoneView(total, count)


@when('its {name} is at {share:g} of the capacity for {seconds:g} seconds')
def drive(context: Any, name: str, share: float, seconds: float) -> None:
    for _ in range(int(seconds / STEP)):
        context.trace.drive(Usage(**{name: share}))


@when(
    'its cpu changes between {low:g} and {high:g} of the '
    'capacity for 60 seconds'
)
def alternate(context: Any, low: float, high: float) -> None:
    for number in range(240):
        context.trace.drive(Usage(cpu=high if number % 2 else low))


@then(
    'it was not ready for {least:g} to {most:g} seconds in {periods:d} periods'
)
def check_not_ready(
    context: Any, least: float, most: float, periods: int
) -> None:
    trace = context.trace
    seconds = trace.ready.count(False) * STEP
    assert least <= seconds <= most, seconds
    assert trace.changes.count(Change.not_ready) == periods


@then('it was not ready for at most {share:g} of the time since any start')
def check_share(context: Any, share: float) -> None:
    down = 0
    for number, ready in enumerate(context.trace.ready, start=1):
        down += not ready
        assert down <= share * number + 1, (down, number)


@then('it was not ready for at most an eighth of any {seconds:d} seconds')
def check_windows(context: Any, seconds: int) -> None:
    ready = context.trace.ready
    width = int(seconds / STEP)
    assert False in ready
    for start in range(len(ready) - width):
        down = ready[start : start + width].count(False)
        assert down <= width / 8, (start, down)


@then('the load makes its answer "{answer}"')
def check_answer(context: Any, answer: str) -> None:
    assert context.trace.readiness.is_ready == (answer == 'ready')


@then('its load was announced at most {count:d} times')
def check_announced(context: Any, count: int) -> None:
    kinds = {Change.loaded, Change.normal}
    announced = [one for one in context.trace.changes if one in kinds]
    assert 1 <= len(announced) <= count, announced


@given(
    '{count:d} random fleets of 21 relays in 3 zones over {seconds:d} seconds'
)
def give_fleets(context: Any, count: int, seconds: int) -> None:
    context.not_ready = []
    context.worst = 0
    for seed in range(count):
        _run_fleet(context, random.Random(seed), int(seconds / STEP))


def _run_fleet(context: Any, rng: random.Random, steps: int) -> None:
    """Drive the relays of three zones with common and uneven loads."""
    own = [
        Member(
            f'm{number}', 'a', '10.0.0.1', availability_zone=f'z{number % 3}'
        )
        for number in range(21)
    ]
    states = [Readiness(0) for _ in own]
    heard = [own for _ in range(HEARTBEAT_STEPS)]
    loads = [0.5 for _ in own]
    low_steps = [0, 0, 0]
    down = [0 for _ in own]
    for step in range(steps):
        common = 0.5 if step % 160 > 24 else 0
        loads = [
            rng.choice((0.3, 0.6, 1)) if rng.random() < 0.02 else load
            for load in loads
        ]
        current = []
        for number, member in enumerate(own):
            others = [one for one in heard[0] if one.name != member.name]
            zone = zone_view(member, others, others)
            cpu = loads[number] + common if step > 400 else loads[number]
            usage = Usage(cpu=min(1, cpu))
            update(states[number], usage, zone, step * STEP)
            down[number] += not states[number].is_ready
            loaded = bool(states[number].loaded)
            current.append(attrs.evolve(member, is_loaded=loaded))
        heard = [*heard[1:], current]
        for index, low in enumerate(low_steps):
            ready = sum(one.is_ready for one in states[index::3])
            low_steps[index] = low + 1 if ready <= 3 else 0
        context.worst = max(context.worst, *low_steps)
    context.not_ready.extend(count / steps for count in down)


@then('every zone had more than half of its relays ready except for 1 second')
def check_zones(context: Any) -> None:
    assert context.worst * STEP <= 1, context.worst


@then('a relay was not ready for at most {share:g} of the time')
def check_fleet_share(context: Any, share: float) -> None:
    assert 0 < max(context.not_ready) <= share, max(context.not_ready)


@given('an instance with a link of {mbps:g} Mbit/s')
def give_link(context: Any, mbps: float) -> None:
    context.capacity = InstanceCapacity(1, 128, 0, mbps)


@given('an instance with {cores:g} cores')
def give_cores(context: Any, cores: float) -> None:
    context.capacity = InstanceCapacity(cores, 128, 0, 100)


@when(
    '{count:d} bytes wait in {connections:d} connections of '
    '{opened:d} open requests'
)
def wait_bytes(context: Any, count: int, connections: int, opened: int) -> None:
    reading = Reading(1, 0, opened, 0, count, connections)
    before = Reading(0, 0)
    context.usage = compute_usage(Usage(), before, reading, context.capacity)


@when(
    'the process uses {cores:g} core seconds a second for {seconds:d} seconds'
)
def use_cpu(context: Any, cores: float, seconds: int) -> None:
    context.usage = Usage()
    previous = Reading(0, 0)
    for number in range(1, int(seconds / STEP) + 1):
        current = Reading(number * STEP, number * STEP * cores)
        context.usage = compute_usage(
            context.usage, previous, current, context.capacity
        )
        previous = current


@then('the link counts as {state}')
def check_link(context: Any, state: str) -> None:
    loaded = 'link' in overloaded_resources(context.usage, LOADED_SHARES)
    assert loaded == (state == 'loaded'), context.usage


@then('the cpu is near its capacity')
def check_cpu(context: Any) -> None:
    assert 0.8 < context.usage.cpu < 0.86, context.usage


@then('a heartbeat without zone and load is read as one without load')
def check_older(context: Any) -> None:
    member = Member(
        'm',
        'a',
        '10.0.0.1',
        availability_zone='zone',
        is_loaded=True,
        leader='m',
        is_new=True,
    )
    assert unpack(pack(member, [])) == (member, [])
    frame = msgpack.unpackb(pack(member, []))
    # The versions before `leader` and `is_new`, and before all four fields.
    unstated = attrs.evolve(member, leader='', is_new=False)
    assert unpack(msgpack.packb(frame[:-2])) == (unstated, [])
    oldest = attrs.evolve(unstated, availability_zone='', is_loaded=False)
    assert unpack(msgpack.packb(frame[:-4])) == (oldest, [])


@then('a report of {milliseconds:d} ms reaches a coordinator on another relay')
def check_report(context: Any, milliseconds: int) -> None:
    ended = PlacementEnded(
        ('r', 2), Ending.answered, began=True, transfer_ms=milliseconds
    )
    received = decode(encode(to_wire(ended, 0)))
    assert from_wire(received, 'other', 0) == ended


@then('a report of an older relay states no time')
def check_older_report(context: Any) -> None:
    received = from_wire(PlaceEnded('r', 2, 'answered', began=True), 'o', 0)
    assert received.transfer_ms < 0


@given('servers for callers and probes on loopback')
def give_servers(context: Any) -> None:
    ports = [_free_port() for _ in range(3)]
    instance = RelayInstance(
        name='own',
        availability_zone='zone',
        caller_address=f'127.0.0.1:{ports[0]}',
        ready_address=f'127.0.0.1:{ports[1]}',
        host='127.0.0.1',
        link_port=1,
        metrics_port=ports[2],
    )
    settings = RelaySettings(
        instance,
        StoreSettings('127.0.0.1:1'),
        'secret',
        capacity=CapacitySettings(ready_by_load=True),
    )
    own = Member('own', 'a', '10.0.0.1', availability_zone='zone')
    members = Members(own)
    for number in range(6):
        host = f'10.0.0.{number + 2}'
        other = attrs.evolve(
            own, name=f'm{number}', host=host, silence_ms=100_000
        )
        record_heartbeat(members, other, monotonic())
    relay: Any = SimpleNamespace(
        settings=settings,
        metrics=RelayMetrics(new_metrics(TelemetrySettings())),
        coordination=SimpleNamespace(members=members, lock=threading.RLock()),
        operator_records=SimpleNamespace(state=object()),
        draining=threading.Event(),
    )
    context.announced = []
    start = monotonic() - 120
    context.reading = Reading(start, 0)
    watch = CapacityWatch(
        relay,
        lambda: context.reading,
        context.announced.append,
        Readiness(start),
        context.reading,
    )
    context.watch = watch
    context.process = SimpleNamespace(relay=relay, capacity=watch)
    serve_probes(relay, lambda: is_ready(context.process), lambda: b'{}')
    context.callers = start_server(
        _stream, ('127.0.0.1', ports[0]), CallerChannel, threads=4
    )
    context.callers.draining = threading.Event()
    context.ports = ports


def _free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as sock:
        return int(sock.getsockname()[1])


def _stream(environ: Any, start_response: Any) -> Any:
    """Answer with events at intervals, without a length."""
    count = EVENTS if environ['PATH_INFO'] == '/stream' else 1
    start_response('200 OK', [('Content-Length', str(count * len(EVENT)))])

    def events() -> Any:
        for _ in range(count):
            time.sleep(EVENT_SECONDS)
            yield EVENT

    return events()


def _probe(context: Any) -> int:
    link = HTTPConnection('127.0.0.1', context.ports[1], timeout=5)
    link.request('GET', '/api/readyz')
    status = link.getresponse().status
    link.close()
    return status


@when("the relay's load rises while a caller reads a stream")
def raise_load(context: Any) -> None:
    caller = HTTPConnection('127.0.0.1', context.ports[0], timeout=5)
    context.caller = caller
    context.instants = []
    caller.request('GET', '/stream')
    answer = caller.getresponse()

    def read() -> None:
        while answer.read(len(EVENT)):
            context.instants.append(time.monotonic())

    reader = threading.Thread(target=read)
    reader.start()
    context.add_cleanup(reader.join)
    now = monotonic()
    assert _probe(context) == 200
    # Readings of a minute without load, then of two seconds with all threads
    # in use, up to now.
    for step in range(400, 0, -1):
        context.reading = Reading(now - step * STEP, 0, 1)
        context.watch.check()
    for step in range(8, -1, -1):
        context.reading = Reading(now - step * STEP, 0, 120)
        context.watch.check()
    assert context.announced == [True]
    context.reader = reader


@when('the measurements stop')
def stop_measurements(context: Any) -> None:
    time.sleep(2.2)


@when('the settings are read again without readiness by load')
def reload(context: Any) -> None:
    assert _probe(context) == 503
    relay = context.process.relay
    relay.settings = attrs.evolve(relay.settings, capacity=CapacitySettings())


@then('the probe is answered with {status:d}')
def check_probe(context: Any, status: int) -> None:
    assert _probe(context) == status


@then('the caller gets all events within 300 ms of each other')
def check_events(context: Any) -> None:
    context.reader.join(5)
    instants = context.instants
    assert len(instants) == EVENTS
    pauses = [
        later - earlier for earlier, later in itertools.pairwise(instants)
    ]
    assert max(pauses) < 0.3, max(pauses)


@then('a request on a connection that is already open is answered')
def check_kept(context: Any) -> None:
    assert _probe(context) == 503
    context.caller.request('GET', '/')
    assert context.caller.getresponse().read() == EVENT
