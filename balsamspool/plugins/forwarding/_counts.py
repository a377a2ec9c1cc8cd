"""Counters that are cheap enough for every datagram."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Metric
from prometheus_client.core import CounterMetricFamily


class DatagramCounts:
    """Counts datagrams by one label.

    A counter of prometheus_client takes a lock and looks up its label on each call,
    which the event loop's only thread does not need.

    Args:
        name: Name of the metric without ``_total``.
        summary: Help text of the metric.
        label: Name of the label, which has a fixed set of values.
        registry: Registry that exports the metric.
    """

    __slots__ = ("_counts", "_label", "_name", "_summary")

    def __init__(
        self, name: str, summary: str, label: str, registry: CollectorRegistry
    ) -> None:
        self._name = name
        self._summary = summary
        self._label = label
        self._counts: dict[str, int] = {}
        registry.register(self)

    def add(self, value: str) -> None:
        """Count one datagram under a value of the label."""
        self._counts[value] = self._counts.get(value, 0) + 1

    def count(self, value: str) -> int:
        """Return the number of datagrams under a value of the label."""
        return self._counts.get(value, 0)

    def describe(self) -> list[Metric]:
        """Return the metric without samples."""
        return [self._family()]

    def collect(self) -> Iterator[Metric]:
        """Yield the metric with one sample for each value of the label."""
        family = self._family()
        for value, count in self._counts.items():
            family.add_metric([value], count)
        yield family

    def _family(self) -> CounterMetricFamily:
        return CounterMetricFamily(self._name, self._summary, labels=[self._label])
