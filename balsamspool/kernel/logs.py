"""Structured JSON logs through the ``logging`` module."""

import logging
import sys
from typing import Any

import msgspec

from balsamspool.kernel.events import LogEvent
from balsamspool.kernel.log_stream import BoundedLogHandler


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object on one line.

    Args:
        instance: Name of the instance that writes the log.
    """

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        entry: dict[str, Any] = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
            + f".{int(record.msecs):03d}",
            "level": record.levelname,
            "instance": self._instance,
            "logger": record.name,
        }
        event = getattr(record, "event", None)
        if isinstance(event, LogEvent):
            entry |= {"event": event.number, "name": event.name}
        entry["message"] = record.getMessage()
        entry |= getattr(record, "fields", {})
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(entry, enc_hook=str).decode()


def configure_logging(instance: str, level: str) -> None:
    """Send all logs of this process to standard output as JSON lines.

    Args:
        instance: Name of the instance that writes the log.
        level: Lowest level that is written, such as ``info``.
    """
    handler = BoundedLogHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(instance))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # The QUIC library logs each packet that it drops, and anyone can send such packets.
    logging.getLogger("quic").setLevel(logging.ERROR)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
