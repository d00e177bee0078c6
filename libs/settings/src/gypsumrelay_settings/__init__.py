"""Checked settings of each program."""

from .loader import (
    SettingsFault,
    SettingsFaults,
    check,
    load,
    load_file,
    read_json,
)
from .models import (
    AgentSettings,
    CallerSettings,
    EntrySettings,
    EvidenceSettings,
    InstanceSettings,
    OperatorSettings,
    PlatformSettings,
    Range,
    RoutingSettings,
    TelemetrySettings,
    UpstreamSettings,
    bounded,
)

__all__ = (
    'AgentSettings',
    'CallerSettings',
    'EntrySettings',
    'EvidenceSettings',
    'InstanceSettings',
    'OperatorSettings',
    'PlatformSettings',
    'Range',
    'RoutingSettings',
    'SettingsFault',
    'SettingsFaults',
    'TelemetrySettings',
    'UpstreamSettings',
    'bounded',
    'check',
    'load',
    'load_file',
    'read_json',
)
