"""Updates of a membership view by each kind of event."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from gypsumrelay_membership.evidence import (
    ConnectionRefused,
    DrainSeen,
    Event,
    LinkEnded,
    Listed,
    ListSeen,
    Reported,
    Subject,
    WorkCompleted,
)
from gypsumrelay_membership.view import Instance, View, gone

# Maximum number of past incarnations stored per name. An older one could
# only reappear in a list or heartbeat that is older than this many restarts.
_KEPT_INCARNATIONS: Final = 8
# Maximum number of departed names whose incarnations are stored, at about
# 300 bytes each. A fleet of 7,600 replaces about 1,000 instances per day.
_KEPT_NAMES: Final = 4096


def observe(view: View, event: Event, now: float) -> None:
    """Update the view by one event."""
    _RULES[type(event)](view, event, now)


def _on_list(view: View, event: ListSeen, now: float) -> None:
    if event.version < view.version:
        return
    if event.version == view.version:
        for name in list(view.undecided):
            _enter_list(view, view.newest_list[name], now, ramp=True)
        return
    first = view.version < 0
    view.version = event.version
    view.newest_list = {entry.name: entry for entry in event.instances}
    view.undecided.clear()
    for name, instance in list(view.instances.items()):
        if name not in view.newest_list:
            _leave_list(view, name, instance, now)
    for entry in event.instances:
        _enter_list(view, entry, now, ramp=not first)
    _count_zones(view, event, first=first)


def _leave_list(
    view: View,
    name: str,
    instance: Instance,
    now: float,
) -> None:
    """Remove an instance that is not in the newest list.

    An instance that was never listed stays while the list may lag behind
    its heartbeat.
    """
    if instance.in_list or not _outruns_list(view, instance, now):
        _forget_instance(view, name)
        _note_departed(view, name)


def _enter_list(
    view: View,
    entry: Listed,
    now: float,
    *,
    ramp: bool,
) -> None:
    view.undecided.discard(entry.name)
    _remember(view.was_listed, entry.name, entry.incarnation)
    known = view.instances.get(entry.name)
    if known is None or known.listed.incarnation != entry.incarnation:
        if entry.incarnation in view.past.get(entry.name, ()):
            # The list lags behind a heartbeat of a newer incarnation.
            return
        if known and _outruns_list(view, known, now):
            view.undecided.add(entry.name)
            return
        known = _begin(view, entry, ramp=ramp)
    known.in_list = True
    if known.leaving and not entry.leaving:
        _start_ramp(view, Subject.instance, entry.name)
    known.leaving = entry.leaving
    _relabel(view, known, entry)


def _outruns_list(view: View, instance: Instance, now: float) -> bool:
    """Return whether the list may lag behind an instance's heartbeat."""
    listed = instance.listed
    if listed.incarnation in view.was_listed.get(listed.name, ()):
        return False
    return now < instance.reported_at + view.settings.list_lag_seconds


def _on_report(view: View, event: Reported, now: float) -> None:
    entry = event.instance
    known = view.instances.get(entry.name)
    if known is None or known.listed.incarnation != entry.incarnation:
        if _is_over(view, entry):
            return
        known = _begin(view, entry, ramp=True)
    if known.draining and not event.draining:
        _start_ramp(view, Subject.instance, entry.name)
    known.draining = event.draining
    known.refused_until = 0
    known.reported_at = now
    known.report_until = now + view.settings.report_seconds


def _on_drain(view: View, event: DrainSeen, now: float) -> None:
    subject = (event.subject, event.name)
    if event.drained:
        view.drained.add(subject)
        return
    if subject not in view.drained:
        return
    view.drained.discard(subject)
    if event.subject is Subject.upstream:
        name = view.by_upstream.get(event.name, '')
        _start_ramp(view, Subject.instance, name)
    else:
        _start_ramp(view, event.subject, event.name)


def _on_refused(
    view: View,
    event: ConnectionRefused,
    now: float,
) -> None:
    known = view.instances.get(event.name)
    if known is None or known.listed.incarnation != event.incarnation:
        return
    known.refused_until = now + view.settings.refusal_seconds
    known.report_until = None
    _start_ramp(view, Subject.instance, event.name)


def _on_link_ended(
    view: View,
    event: LinkEnded,
    now: float,
) -> None:
    known = view.instances.get(event.name)
    if known is not None:
        known.report_until = None


def _on_completed(
    view: View,
    event: WorkCompleted,
    now: float,
) -> None:
    known = view.instances.get(event.name)
    if known is None:
        return
    zone = known.listed.availability_zone
    size = max(1, view.zone_sizes.get(zone, 1))
    settings = view.settings
    _grow(view, (Subject.instance, event.name), settings.instance_ramp_full)
    _grow(
        view,
        (Subject.availability_zone, zone),
        settings.zone_ramp_full * size,
    )


_Rule = Callable[[View, Any, float], None]

_RULES: Final[dict[type[Event], _Rule]] = {
    ListSeen: _on_list,
    Reported: _on_report,
    DrainSeen: _on_drain,
    ConnectionRefused: _on_refused,
    LinkEnded: _on_link_ended,
    WorkCompleted: _on_completed,
}


def _begin(view: View, entry: Listed, *, ramp: bool) -> Instance:
    """Start a new incarnation of an instance.

    The previous incarnation is recorded and never restored.
    """
    known = view.instances.get(entry.name)
    if known is not None:
        _remember(view.past, entry.name, known.listed.incarnation)
        _forget_instance(view, entry.name)
    instance = Instance(entry)
    view.instances[entry.name] = instance
    _relabel(view, instance, entry)
    if ramp:
        _start_ramp(view, Subject.instance, entry.name)
    return instance


def _is_over(view: View, entry: Listed) -> bool:
    """Return whether an incarnation was replaced or has left the list."""
    past = entry.incarnation in view.past.get(entry.name, ())
    return past or gone(view, entry.name, entry.incarnation)


def _relabel(view: View, instance: Instance, entry: Listed) -> None:
    before = instance.listed.upstream
    if view.by_upstream.get(before) == entry.name:
        view.by_upstream.pop(before)
    instance.listed = entry
    if entry.upstream:
        view.by_upstream[entry.upstream] = entry.name


def _forget_instance(view: View, name: str) -> None:
    instance = view.instances.pop(name)
    view.undecided.discard(name)
    view.ramps.pop((Subject.instance, name), None)
    upstream = instance.listed.upstream
    if view.by_upstream.get(upstream) == name:
        view.by_upstream.pop(upstream)


def _note_departed(view: View, name: str) -> None:
    view.departed.pop(name, None)
    view.departed[name] = None
    if len(view.departed) > _KEPT_NAMES:
        oldest = next(iter(view.departed))
        view.departed.pop(oldest)
        if oldest not in view.instances:
            view.past.pop(oldest, None)
            view.was_listed.pop(oldest, None)


def _count_zones(
    view: View,
    event: ListSeen,
    *,
    first: bool,
) -> None:
    """Count the instances of each zone; ramp up zones that had none."""
    sizes = Counter(entry.availability_zone for entry in event.instances)
    if not first:
        for zone in sizes.keys() - view.zone_sizes.keys():
            _start_ramp(view, Subject.availability_zone, zone)
    view.zone_sizes = dict(sizes)


def _start_ramp(view: View, subject: Subject, name: str) -> None:
    view.ramps[subject, name] = view.settings.ramp_start


def _grow(view: View, subject: tuple[Subject, str], full: int) -> None:
    if subject not in view.ramps:
        return
    view.ramps[subject] += 1
    if view.ramps[subject] >= full:
        view.ramps.pop(subject)


def _remember(kept: dict[str, list[str]], name: str, incarnation: str) -> None:
    incarnations = kept.setdefault(name, [])
    if incarnation not in incarnations:
        incarnations.append(incarnation)
        del incarnations[:-_KEPT_INCARNATIONS]
