"""Measures how long it takes to read the records of answers."""

import logging
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from balsamspool.kernel.clock import processor_seconds
from balsamspool.kernel.counters import CounterSet
from balsamspool.plugins.catalog.events import ANSWER_SLOW

_logger = logging.getLogger(__name__)

# Processor time from which on reading an answer delays the packets of callers.
SLOW_SECONDS = 0.1
# Length of the part of the largest record that is logged, which begins with its key.
MAX_START_OCTETS = 120


class AnswerTimes:
    """Measures the reading of answers, during which the process does nothing else.

    Args:
        counters: Counters of the process.
    """

    __slots__ = ("_seconds",)

    def __init__(self, counters: CounterSet) -> None:
        self._seconds = counters.histogram(
            "balsamspool_catalog_decoding_seconds",
            "Processor time to read the records of one answer of the service",
        )

    @contextmanager
    def measure(self, records: Sequence[bytes]) -> Iterator[None]:
        """Measure the time that the block takes to read the records of an answer."""
        started = processor_seconds()
        yield
        seconds = processor_seconds() - started
        self._seconds.observe(seconds)
        if seconds < SLOW_SECONDS or not records:
            return
        largest = max(records, key=len)
        ANSWER_SLOW.log(
            _logger,
            processor_seconds=round(seconds, 3),
            records=len(records),
            octets=sum(map(len, records)),
            largest_octets=len(largest),
            largest=largest[:MAX_START_OCTETS].decode(errors="replace"),
        )
