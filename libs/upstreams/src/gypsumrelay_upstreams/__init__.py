"""Reservations, cold start and fences of one upstream."""

from gypsumrelay_upstreams import (
    capacity,
    coldstart,
    ledger,
    reconciliation,
)
from gypsumrelay_upstreams.actions import (
    Action,
    CancelRun,
    Delivered,
    Dropped,
    DropReason,
    Ended,
    EndReason,
    EngineRestarted,
    ForeignRuns,
    Granted,
    Queued,
    Refused,
    StartRun,
)
from gypsumrelay_upstreams.queueing import (
    DeadlineQueue,
    Key,
    WaitingItem,
    WaitingQueue,
)
from gypsumrelay_upstreams.ramp import ColdRamp, RampSettings
from gypsumrelay_upstreams.reservations import (
    EngineReport,
    Ledger,
    LedgerSettings,
    Phase,
    Purpose,
    Reservation,
    ReserveRequest,
)

__all__ = (
    'Action',
    'CancelRun',
    'ColdRamp',
    'DeadlineQueue',
    'Delivered',
    'DropReason',
    'Dropped',
    'EndReason',
    'Ended',
    'EngineReport',
    'EngineRestarted',
    'ForeignRuns',
    'Granted',
    'Key',
    'Ledger',
    'LedgerSettings',
    'Phase',
    'Purpose',
    'Queued',
    'RampSettings',
    'Refused',
    'Reservation',
    'ReserveRequest',
    'StartRun',
    'WaitingItem',
    'WaitingQueue',
    'capacity',
    'coldstart',
    'ledger',
    'reconciliation',
)
