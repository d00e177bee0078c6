"""Steps of output.feature."""

from __future__ import annotations

import io
import json
import threading
import time
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_telemetry import Output

FLUSH_TIMEOUT_SECONDS = 5.0


class BlockingStream(io.StringIO):
    """A stream whose writes block until the reader starts again."""

    def __init__(self) -> None:
        """Initialize the stream without a reader."""
        super().__init__()
        self.reader_started = threading.Event()

    def write(self, text: str) -> int:
        """Write the text when the reader has started again."""
        self.reader_started.wait()
        return super().write(text)


def start_output(context: Any, stream: io.StringIO) -> Output:
    output = Output('relay-0', stream)
    output.start()
    context.output = output
    context.stream = stream
    return output


@given('an output whose stream is not read')
def create_unread(context: Any) -> None:
    stream = BlockingStream()
    context.add_cleanup(stream.reader_started.set)
    start_output(context, stream)


@given('another output whose stream is not read')
def create_second(context: Any) -> None:
    context.first = context.output
    create_unread(context)


@given('an output whose stream is closed')
def create_closed(context: Any) -> None:
    stream = io.StringIO()
    stream.close()
    start_output(context, stream)


@when('{count:d} routine decisions are logged')
def log_routine(context: Any, count: int) -> None:
    started = monotonic()
    for number in range(count):
        log_decision(context.output, 'placed', number, routine=True)
    context.mean = (monotonic() - started) / count


@when('{count:d} routine decisions are logged to both outputs')
def log_both(context: Any, count: int) -> None:
    for output in (context.first, context.output):
        for number in range(count):
            log_decision(output, 'placed', number, routine=True)


@when('{count:d} rejections are logged')
def log_rejections(context: Any, count: int) -> None:
    for number in range(count):
        log_decision(context.output, 'refused', number, routine=False)


def log_decision(
    output: Output, event: str, number: int, *, routine: bool
) -> None:
    fields = {'request_id': f'r{number}', 'number': number}
    output.decide(event, fields, routine=routine)


@when('the stream is read again')
def read_again(context: Any) -> None:
    context.stream.reader_started.set()
    deadline = monotonic() + FLUSH_TIMEOUT_SECONDS
    context.output.flush(deadline)
    # The writer reports dropped lines only with the next batch.
    context.output.put({'event': 'last'})
    while 'last' not in context.stream.getvalue():
        assert monotonic() < deadline
        time.sleep(0.01)


@then('the mean time per decision was less than a millisecond')
def check_mean(context: Any) -> None:
    assert context.mean < 0.001, context.mean


@then('at most {count:d} lines are queued')
def check_waiting(context: Any, count: int) -> None:
    assert context.output.lines.qsize() <= count


def written_lines(context: Any) -> list[dict[str, Any]]:
    lines = context.stream.getvalue().splitlines()
    return [json.loads(line) for line in lines]


@then('{count:d} lines were written or dropped')
def check_total(context: Any, count: int) -> None:
    lines = written_lines(context)
    routine = sum(line['event'] == 'placed' for line in lines)
    dropped = sum(line.get('lines', 0) for line in lines)
    assert 0 < routine < count
    assert routine + dropped == count, (routine, dropped)


@then('the report of dropped lines contains a time and an instance')
def check_report(context: Any) -> None:
    reports = [
        line for line in written_lines(context) if line['event'] == 'dropped'
    ]
    assert reports
    for report in reports:
        assert report['instance'] == 'relay-0'
        assert abs(report['time'] - time.time()) < FLUSH_TIMEOUT_SECONDS * 2


@then('all {count:d} rejections are written')
def check_rejections(context: Any, count: int) -> None:
    rejections = [
        line for line in written_lines(context) if line['event'] == 'refused'
    ]
    assert len(rejections) == count


@then('the last logged requests are the same in both queues')
def check_same(context: Any) -> None:
    request_ids = [
        [json.loads(line)['request_id'] for line in output.lines.queue]
        for output in (context.first, context.output)
    ]
    sampled = [set(queued_ids[-50:]) for queued_ids in request_ids]
    assert sampled[0] == sampled[1]
    assert 'r2999' not in sampled[0] or 'r2998' not in sampled[0]
