"""Determines from the packets that pass whether a backend server answers."""

import logging

from balsamspool.datagram.events import SERVER_ANSWERS, SERVER_SILENT

_logger = logging.getLogger(__name__)

# Number of consecutive opening packets without an answer after which a backend server
# counts as silent. A single packet may have been lost in transit.
SILENT_OPENINGS = 2


class ServerLiveness:
    """Whether the backend server of an agent answers opening packets."""

    __slots__ = ("_last_answer", "_responsive", "_unanswered")

    def __init__(self) -> None:
        self._responsive = True
        self._unanswered = 0
        self._last_answer = 0.0

    @property
    def responsive(self) -> bool:
        """Whether the backend server answers, as far as is known."""
        return self._responsive

    def record_answer(self, time: float) -> None:
        """Record a packet of the backend server.

        Args:
            time: Event loop time in seconds.
        """
        self._last_answer = time
        self._unanswered = 0
        if not self._responsive:
            self._responsive = True
            SERVER_ANSWERS.log(_logger)

    def record_unanswered(self, time: float, sent: float) -> None:
        """Record an opening packet that was not answered.

        Args:
            time: Event loop time in seconds.
            sent: Event loop time in seconds at which the packet was delivered.
        """
        if self._last_answer > sent:
            return
        self._unanswered += 1
        if self._responsive and self._unanswered >= SILENT_OPENINGS:
            self._responsive = False
            silent = round(time - self._last_answer, 3) if self._last_answer else None
            SERVER_SILENT.log(_logger, openings=self._unanswered, silent_seconds=silent)
