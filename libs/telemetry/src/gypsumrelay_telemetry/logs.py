"""Write log records to standard error, one per line, with their channel."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, Final

import logbook

if TYPE_CHECKING:
    from gypsumrelay_settings import TelemetrySettings

FORMAT: Final = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} '
    '[{record.channel}] {record.message}'
)


def set_up_logs(settings: TelemetrySettings, instance: str) -> None:
    """Write all log records of this process to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=settings.log_level)
    handler.format_string = FORMAT
    if settings.log_json:
        handler.formatter = _json_formatter(instance)
    handler.push_application()


def _json_formatter(instance: str) -> Any:
    def format_record(record: Any, handler: Any) -> str:
        return json.dumps(
            {
                'time': record.time.isoformat(),
                'level': record.level_name,
                'part': record.channel,
                'instance': instance,
                'message': record.message,
            },
        )

    return format_record
