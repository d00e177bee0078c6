"""Updates of a membership view by each kind of event."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from gypsumrelay_membership.events import (
    ConnectionRefused,
    DrainChanged,
    Event,
    HeartbeatReceived,
    InstanceDescription,
    LinkClosed,
    ListReceived,
    Subject,
    WorkCompleted,
)
from gypsumrelay_membership.view import Instance, MembershipView, has_left

# Maximum number of past incarnations stored per name. An older one could
# only reappear in a list or heartbeat that is older than this many restarts.
_MAX_INCARNATIONS_PER_NAME: Final = 8
# Maximum number of departed names whose incarnations are stored, at about
# 300 bytes each. A fleet of 7,600 replaces about 1,000 instances per day.
_MAX_DEPARTED_NAMES: Final = 4096


def apply_event(view: MembershipView, event: Event, now: float) -> None:
    """Update the view by one event."""
    _HANDLERS[type(event)](view, event, now)


def _on_list(view: MembershipView, event: ListReceived, now: float) -> None:
    if event.version < view.version:
        return
    if event.version == view.version:
        for name in list(view.undecided):
            _apply_entry(view, view.newest_list[name], now, ramp=True)
        return
    first = view.version < 0
    view.version = event.version
    view.newest_list = {entry.name: entry for entry in event.instances}
    view.undecided.clear()
    for name, instance in list(view.instances.items()):
        if name not in view.newest_list:
            _remove_unlisted(view, name, instance, now)
    for entry in event.instances:
        _apply_entry(view, entry, now, ramp=not first)
    _count_zones(view, event, first=first)


def _remove_unlisted(
    view: MembershipView,
    name: str,
    instance: Instance,
    now: float,
) -> None:
    """Remove an instance that is not in the newest list.

    An instance that was never listed stays while the list may lag behind
    its heartbeat.
    """
    if instance.in_list or not _is_ahead_of_list(view, instance, now):
        _remove_instance(view, name)
        _record_departure(view, name)


def _apply_entry(
    view: MembershipView,
    entry: InstanceDescription,
    now: float,
    *,
    ramp: bool,
) -> None:
    view.undecided.discard(entry.name)
    _add_incarnation(view.listed_incarnations, entry.name, entry.incarnation)
    instance = view.instances.get(entry.name)
    if (
        instance is None
        or instance.description.incarnation != entry.incarnation
    ):
        if entry.incarnation in view.past_incarnations.get(entry.name, ()):
            # The list lags behind a heartbeat of a newer incarnation.
            return
        if instance and _is_ahead_of_list(view, instance, now):
            view.undecided.add(entry.name)
            return
        instance = _start_incarnation(view, entry, ramp=ramp)
    instance.in_list = True
    if instance.leaving and not entry.leaving:
        _start_ramp(view, Subject.instance, entry.name)
    instance.leaving = entry.leaving
    _set_description(view, instance, entry)


def _is_ahead_of_list(
    view: MembershipView, instance: Instance, now: float
) -> bool:
    """Return whether the list may lag behind an instance's heartbeat."""
    entry = instance.description
    if entry.incarnation in view.listed_incarnations.get(entry.name, ()):
        return False
    return now < instance.heartbeat_at + view.settings.list_lag_seconds


def _on_heartbeat(
    view: MembershipView, event: HeartbeatReceived, now: float
) -> None:
    entry = event.instance
    instance = view.instances.get(entry.name)
    if (
        instance is None
        or instance.description.incarnation != entry.incarnation
    ):
        if _has_ended(view, entry):
            return
        instance = _start_incarnation(view, entry, ramp=True)
    if instance.draining and not event.draining:
        _start_ramp(view, Subject.instance, entry.name)
    instance.draining = event.draining
    instance.refused_until = 0
    instance.heartbeat_at = now
    instance.heartbeat_expires_at = (
        now + view.settings.heartbeat_timeout_seconds
    )


def _on_drain(view: MembershipView, event: DrainChanged, now: float) -> None:
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
    view: MembershipView,
    event: ConnectionRefused,
    now: float,
) -> None:
    instance = view.instances.get(event.name)
    if (
        instance is None
        or instance.description.incarnation != event.incarnation
    ):
        return
    instance.refused_until = now + view.settings.refusal_seconds
    instance.heartbeat_expires_at = None
    _start_ramp(view, Subject.instance, event.name)


def _on_link_closed(
    view: MembershipView,
    event: LinkClosed,
    now: float,
) -> None:
    instance = view.instances.get(event.name)
    if instance is not None:
        instance.heartbeat_expires_at = None


def _on_completed(
    view: MembershipView,
    event: WorkCompleted,
    now: float,
) -> None:
    instance = view.instances.get(event.name)
    if instance is None:
        return
    zone = instance.description.availability_zone
    size = max(1, view.zone_sizes.get(zone, 1))
    settings = view.settings
    _raise_limit(
        view,
        (Subject.instance, event.name),
        settings.instance_ramp_full,
    )
    _raise_limit(
        view,
        (Subject.availability_zone, zone),
        settings.zone_ramp_full * size,
    )


_Handler = Callable[[MembershipView, Any, float], None]

_HANDLERS: Final[dict[type[Event], _Handler]] = {
    ListReceived: _on_list,
    HeartbeatReceived: _on_heartbeat,
    DrainChanged: _on_drain,
    ConnectionRefused: _on_refused,
    LinkClosed: _on_link_closed,
    WorkCompleted: _on_completed,
}


def _start_incarnation(
    view: MembershipView, entry: InstanceDescription, *, ramp: bool
) -> Instance:
    """Start a new incarnation of an instance.

    The previous incarnation is recorded and never restored.
    """
    previous = view.instances.get(entry.name)
    if previous is not None:
        _add_incarnation(
            view.past_incarnations,
            entry.name,
            previous.description.incarnation,
        )
        _remove_instance(view, entry.name)
    instance = Instance(entry)
    view.instances[entry.name] = instance
    _set_description(view, instance, entry)
    if ramp:
        _start_ramp(view, Subject.instance, entry.name)
    return instance


def _has_ended(view: MembershipView, entry: InstanceDescription) -> bool:
    """Return whether an incarnation was replaced or has left the list."""
    replaced = entry.incarnation in view.past_incarnations.get(entry.name, ())
    return replaced or has_left(view, entry.name, entry.incarnation)


def _set_description(
    view: MembershipView, instance: Instance, entry: InstanceDescription
) -> None:
    before = instance.description.upstream
    if view.by_upstream.get(before) == entry.name:
        view.by_upstream.pop(before)
    instance.description = entry
    if entry.upstream:
        view.by_upstream[entry.upstream] = entry.name


def _remove_instance(view: MembershipView, name: str) -> None:
    instance = view.instances.pop(name)
    view.undecided.discard(name)
    view.ramps.pop((Subject.instance, name), None)
    upstream = instance.description.upstream
    if view.by_upstream.get(upstream) == name:
        view.by_upstream.pop(upstream)


def _record_departure(view: MembershipView, name: str) -> None:
    view.departed_names.pop(name, None)
    view.departed_names[name] = None
    if len(view.departed_names) > _MAX_DEPARTED_NAMES:
        oldest = next(iter(view.departed_names))
        view.departed_names.pop(oldest)
        if oldest not in view.instances:
            view.past_incarnations.pop(oldest, None)
            view.listed_incarnations.pop(oldest, None)


def _count_zones(
    view: MembershipView,
    event: ListReceived,
    *,
    first: bool,
) -> None:
    """Count the instances of each zone; ramp up zones that had none."""
    sizes = Counter(entry.availability_zone for entry in event.instances)
    if not first:
        for zone in sizes.keys() - view.zone_sizes.keys():
            _start_ramp(view, Subject.availability_zone, zone)
    view.zone_sizes = dict(sizes)


def _start_ramp(view: MembershipView, subject: Subject, name: str) -> None:
    view.ramps[subject, name] = view.settings.ramp_start


def _raise_limit(
    view: MembershipView,
    subject: tuple[Subject, str],
    final_limit: int,
) -> None:
    if subject not in view.ramps:
        return
    view.ramps[subject] += 1
    if view.ramps[subject] >= final_limit:
        view.ramps.pop(subject)


def _add_incarnation(
    incarnations_by_name: dict[str, list[str]],
    name: str,
    incarnation: str,
) -> None:
    incarnations = incarnations_by_name.setdefault(name, [])
    if incarnation not in incarnations:
        incarnations.append(incarnation)
        del incarnations[:-_MAX_INCARNATIONS_PER_NAME]
