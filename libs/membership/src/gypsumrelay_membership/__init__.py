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
from gypsumrelay_membership.observation import observe
from gypsumrelay_membership.view import (
    Instance,
    View,
    WorkLimit,
    accepts_new_work,
    gone,
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
    'Subject',
    'View',
    'WorkCompleted',
    'WorkLimit',
    'accepts_new_work',
    'gone',
    'observe',
    'work_limit',
)
