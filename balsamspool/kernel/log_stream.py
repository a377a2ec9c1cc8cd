"""Log handler that never blocks and whose volume is bounded."""

import asyncio
import logging
import os
from time import monotonic

from balsamspool.kernel.events import LOG_LINES_DROPPED

# Lines wait so long to be written together.
FLUSH_SECONDS = 0.1
# Lines that nobody reads are kept up to this size.
MAX_WAITING_BYTES = 256 * 1024
# Below the level of a warning, so many lines a second are written over time.
LINES_PER_SECOND = 200.0
LINE_BURST = 600.0
# At the end of the process, waiting lines are offered so many times.
LAST_ATTEMPTS = 5


class BoundedLogHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    Args:
        descriptor: File descriptor. It is opened once more, so that other processes
            that share it can still block on it.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = _open_without_blocking(descriptor)
        self._waiting = bytearray()
        self._dropped = 0
        self._allowance = LINE_BURST
        self._allowed_at = monotonic()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the last one that says so."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line to write, or count it as dropped."""
        important = record.levelno >= logging.WARNING
        if not (important or self._allows()):
            self._dropped += 1
            return
        line = self._line(record)
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self._dropped += 1
            return
        self._waiting += line
        if important:
            self.flush()
        else:
            self._schedule()

    def flush(self) -> None:
        """Write what can be written now."""
        self._timer = None
        self._report_dropped()
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                self._schedule()
                return
            except OSError:
                # Nobody will read the lines any more, and there is no other place
                # to say so.
                self._waiting.clear()
                return
            del self._waiting[:written]

    def close(self) -> None:
        """Offer the waiting lines for the last time."""
        for _ in range(LAST_ATTEMPTS):
            if not self._waiting:
                break
            self.flush()
        super().close()

    def _line(self, record: logging.LogRecord) -> bytes:
        try:
            return self.format(record).encode() + b"\n"
        except Exception:  # a line must not end the process
            self.handleError(record)
            return b""

    def _allows(self) -> bool:
        time = monotonic()
        earned = (time - self._allowed_at) * LINES_PER_SECOND
        self._allowance = min(LINE_BURST, self._allowance + earned)
        self._allowed_at = time
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def _report_dropped(self) -> None:
        if not self._dropped or len(self._waiting) > MAX_WAITING_BYTES / 2:
            return
        event = LOG_LINES_DROPPED
        record = logging.LogRecord(
            __name__, event.level, "", 0, event.summary, (), None
        )
        record.event = event
        record.fields = {"lines": self._dropped}
        self._dropped = 0
        self._waiting += self._line(record)

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs there are only a few lines.
            return
        self._timer = loop.call_later(FLUSH_SECONDS, self.flush)


def _open_without_blocking(descriptor: int) -> int:
    try:
        path = f"/proc/self/fd/{descriptor}"
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK)
    except OSError:
        # Sockets cannot be opened once more.
        os.set_blocking(descriptor, False)
        return descriptor
