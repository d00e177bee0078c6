"""Membership of live, leaving and drained instances."""

from gypsumrelay_membership.events import (
    ConnectionRefused,
    DrainChanged,
    Event,
    HeartbeatReceived,
    InstanceDescription,
    LinkClosed,
    ListReceived,
    MembershipSettings,
    Subject,
    WorkCompleted,
)
from gypsumrelay_membership.updates import apply_event
from gypsumrelay_membership.view import (
    Instance,
    MembershipView,
    WorkLimit,
    accepts_new_work,
    has_left,
    work_limit,
)

__all__ = (
    'ConnectionRefused',
    'DrainChanged',
    'Event',
    'HeartbeatReceived',
    'Instance',
    'InstanceDescription',
    'LinkClosed',
    'ListReceived',
    'MembershipSettings',
    'MembershipView',
    'Subject',
    'WorkCompleted',
    'WorkLimit',
    'accepts_new_work',
    'apply_event',
    'has_left',
    'work_limit',
)
