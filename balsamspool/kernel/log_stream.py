"""Log handler that never blocks and whose volume is bounded."""

import asyncio
import logging
import os
from time import monotonic

from balsamspool.kernel.events import LOG_LINES_DROPPED

# Longest time for which lines are buffered, so that they are written together.
FLUSH_SECONDS = 0.1
# Largest size of the buffered lines; further lines are dropped.
MAX_BUFFER_BYTES = 256 * 1024
# Average rate and largest burst of lines below the level WARNING.
LINES_PER_SECOND = 200.0
LINE_BURST = 600.0
# Number of attempts to write the buffered lines when the handler is closed.
CLOSE_ATTEMPTS = 5


class BoundedLogHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    Args:
        descriptor: File descriptor. The handler opens the file again for itself, so
            that the given descriptor stays in blocking mode for other processes that
            share it.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = _open_without_blocking(descriptor)
        self._buffer = bytearray()
        self._dropped = 0
        self._allowance = LINE_BURST
        self._allowance_updated_at = monotonic()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Number of dropped lines that the log does not report yet."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer the line of a record, or count it as dropped."""
        important = record.levelno >= logging.WARNING
        if not (important or self._spend_allowance()):
            self._dropped += 1
            return
        line = self._format_line(record)
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._buffer += line
        if important:
            self.flush()
        else:
            self._schedule_flush()

    def flush(self) -> None:
        """Write as many buffered lines as the reader accepts now."""
        self._timer = None
        self._report_dropped()
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The lines cannot be written any more, and there is no other place to
                # report that.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def close(self) -> None:
        """Try to write the buffered lines for the last time."""
        for _ in range(CLOSE_ATTEMPTS):
            if not self._buffer:
                break
            self.flush()
        super().close()

    def _format_line(self, record: logging.LogRecord) -> bytes:
        try:
            return self.format(record).encode() + b"\n"
        except Exception:  # a bad line must not end the process
            self.handleError(record)
            return b""

    def _spend_allowance(self) -> bool:
        time = monotonic()
        earned = (time - self._allowance_updated_at) * LINES_PER_SECOND
        self._allowance = min(LINE_BURST, self._allowance + earned)
        self._allowance_updated_at = time
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def _report_dropped(self) -> None:
        if not self._dropped or len(self._buffer) > MAX_BUFFER_BYTES / 2:
            return
        event = LOG_LINES_DROPPED
        record = logging.LogRecord(
            __name__, event.level, "", 0, event.summary, (), None
        )
        record.event = event
        record.fields = {"lines": self._dropped}
        self._dropped = 0
        self._buffer += self._format_line(record)

    def _schedule_flush(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # The few lines that are logged before the loop runs wait for a later flush.
            return
        self._timer = loop.call_later(FLUSH_SECONDS, self.flush)


def _open_without_blocking(descriptor: int) -> int:
    try:
        path = f"/proc/self/fd/{descriptor}"
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK)
    except OSError:
        # The descriptor may be a socket, which cannot be opened again.
        os.set_blocking(descriptor, False)
        return descriptor
