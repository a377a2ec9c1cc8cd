"""Metrics of the calls to the service that publishes the catalog."""

from balsamspool.kernel.counters import CounterFamily, CounterSet
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import (
    CATALOG_HISTORY_LOST,
    CATALOG_UNAVAILABLE,
)

ANSWERED = "answered"


class CallMetrics:
    """Counts calls by outcome, and measures for how long answers fail to come.

    Args:
        counters: Counters of the process.
    """

    __slots__ = ("_outcomes", "_silence")

    def __init__(self, counters: CounterSet) -> None:
        self._outcomes = CounterFamily(
            counters,
            "balsamspool_catalog_calls",
            "Calls to the service that publishes the catalog, by outcome",
            (ANSWERED, CATALOG_UNAVAILABLE.name, CATALOG_HISTORY_LOST.name),
        )
        self._silence = counters.histogram(
            "balsamspool_catalog_silence_seconds",
            "Time between two answers of the service to this process or its peer",
        )

    def record_answer(self) -> None:
        """Count a call that was answered."""
        self._outcomes.add(ANSWERED)

    def record_failure(self, error: ResultError) -> None:
        """Count a call that failed, by its result code."""
        self._outcomes.add(error.code.name)

    def record_silence(self, seconds: float) -> None:
        """Record the time between two answers in seconds."""
        self._silence.observe(seconds)
