"""Judges whether a backend server answers, by the packets that pass."""

import logging

from balsamspool.datagram.events import SERVER_ANSWERS, SERVER_SILENT

_logger = logging.getLogger(__name__)

# Opening packets in a row without an answer. One may be lost on the way.
SILENT_OPENINGS = 2


class ServerLiveness:
    """Whether the backend server of an agent answers opening packets."""

    __slots__ = ("_answered", "_misses", "_responsive")

    def __init__(self) -> None:
        self._responsive = True
        self._misses = 0
        self._answered = 0.0

    @property
    def responsive(self) -> bool:
        """Whether the backend server answers, as far as is known."""
        return self._responsive

    def note_answer(self, time: float) -> None:
        """Record a packet of the backend server.

        Args:
            time: Event loop time in seconds.
        """
        self._answered = time
        self._misses = 0
        if not self._responsive:
            self._responsive = True
            SERVER_ANSWERS.log(_logger)

    def note_silence(self, time: float, sent: float) -> None:
        """Record an opening packet that was not answered.

        Args:
            time: Event loop time in seconds.
            sent: Event loop time in seconds at which the packet was delivered.
        """
        if self._answered > sent:
            return
        self._misses += 1
        if self._responsive and self._misses >= SILENT_OPENINGS:
            self._responsive = False
            silent = round(time - self._answered, 3) if self._answered else None
            SERVER_SILENT.log(_logger, openings=self._misses, silent_seconds=silent)
