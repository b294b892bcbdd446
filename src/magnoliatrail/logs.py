"""Structured logging: one line of key=value pairs per event."""

import sys
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import Any

import logbook

from magnoliatrail.generated.settings import LogLevel

LINE_FORMAT = "time={record.time:%Y-%m-%dT%H:%M:%S.%fZ} level={record.level_name} part={record.channel} {record.message}"  # noqa: E501


def format_value(value: object) -> str:
    """Return a value as text, quoted if it could be parsed as another pair."""
    if isinstance(value, timedelta):
        return f"{value.total_seconds() * 1000:.1f}ms"
    text = str(value.value if isinstance(value, Enum) else value)
    if text and not any(letter in text for letter in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    flat = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{flat}"'


class EventLog:
    """A logger for the events of one part of the program."""

    def __init__(self, part: str) -> None:
        self.logger = logbook.Logger(part)

    def line(self, event: str, pairs: dict[str, Any]) -> str:
        """Return the line of one event, without time and level."""
        parts = [f"event={event}"]
        parts.extend(f"{key}={format_value(value)}" for key, value in pairs.items())
        return " ".join(parts)

    def debug(self, event: str, **pairs: object) -> None:
        """Log a detail for tracing a single request."""
        if self.logger.level <= logbook.DEBUG:
            self.logger.debug("{}", self.line(event, pairs))

    def info(self, event: str, **pairs: object) -> None:
        """Log a decision or a state change."""
        self.logger.info("{}", self.line(event, pairs))

    def warning(self, event: str, **pairs: object) -> None:
        """Log a problem from which the system recovers by itself."""
        self.logger.warning("{}", self.line(event, pairs))

    def error(self, event: str, **pairs: object) -> None:
        """Log a problem that needs an operator's attention."""
        self.logger.error("{}", self.line(event, pairs))


def line_prefix(event: str) -> str:
    """Return the start of a line that the log output writes itself."""
    now = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    return f"time={now} level=WARNING part=logs event={event}"


def log_to_stderr(level: LogLevel) -> None:
    """Send all log lines of this process to standard error."""
    handler = logbook.StreamHandler(
        sys.stderr, level=level.value.upper(), format_string=LINE_FORMAT
    )
    logbook.set_datetime_format("utc")
    handler.push_application()
