"""Membership of live, leaving and drained instances."""

from gypsumrelay_membership.events import (
    ConnectionRefused,
    DrainSeen,
    Event,
    LinkEnded,
    Listed,
    ListSeen,
    MembershipSettings,
    Reported,
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
    'DrainSeen',
    'Event',
    'Instance',
    'LinkEnded',
    'ListSeen',
    'Listed',
    'MembershipSettings',
    'Reported',
    'Subject',
    'View',
    'WorkCompleted',
    'WorkLimit',
    'accepts_new_work',
    'gone',
    'observe',
    'work_limit',
)
