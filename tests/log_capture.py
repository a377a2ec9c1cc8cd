"""Collects the log events of a test."""

import contextlib
import logging

from balsamspool.kernel.events import LogEvent


class EventRecorder(logging.Handler):
    """Keeps the fields of each log event by its name."""

    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        event = getattr(record, "event", None)
        if isinstance(event, LogEvent):
            self.events.append((event.name, record.fields))

    def fields(self, name):
        """Return the fields of each event of a name, in order."""
        return [fields for found, fields in self.events if found == name]


@contextlib.contextmanager
def recorded_events():
    """Record all log events of the package, whatever its level is."""
    logger, recorder = logging.getLogger("balsamspool"), EventRecorder()
    level, propagates = logger.level, logger.propagate
    logger.addHandler(recorder)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    try:
        yield recorder
    finally:
        logger.removeHandler(recorder)
        logger.setLevel(level)
        logger.propagate = propagates
