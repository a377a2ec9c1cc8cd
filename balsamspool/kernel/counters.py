"""Plain counters and histograms, exported when they are scraped.

The code that handles each packet uses these. A process that is never scraped does not
load the metrics library.
"""

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from prometheus_client import Metric

# Upper bounds of latency buckets in seconds.
LATENCY_BOUNDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Counter(Struct):
    """Counter of one series.

    Attributes:
        name: Name of the metric without the suffix ``_total``.
        help: One sentence for operators.
        label: Value of the label ``kind``, empty for a metric without labels.
        value: Number of occurrences so far.
    """

    name: str
    help: str
    label: str = ""
    value: int = 0


class LatencyHistogram:
    """Counts durations in buckets.

    Args:
        name: Name of the metric, which ends in ``_seconds``.
        help_text: One sentence for operators.
        bounds: Upper bounds of the buckets in seconds.
    """

    __slots__ = ("_bounds", "_counts", "_help", "_name", "_sum")

    def __init__(
        self, name: str, help_text: str, bounds: Sequence[float] = LATENCY_BOUNDS
    ) -> None:
        self._name = name
        self._help = help_text
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    @property
    def name(self) -> str:
        """Name of the metric."""
        return self._name

    @property
    def help(self) -> str:
        """One sentence for operators."""
        return self._help

    @property
    def sum(self) -> float:
        """Sum of all durations in seconds."""
        return self._sum

    def observe(self, seconds: float) -> None:
        """Count a duration in seconds."""
        self._counts[bisect_left(self._bounds, seconds)] += 1
        self._sum += seconds

    def buckets(self) -> list[tuple[str, int]]:
        """Return upper bounds and cumulative counts, as Prometheus expects them."""
        total = 0
        buckets = []
        for bound, count in zip(self._bounds, self._counts, strict=False):
            total += count
            buckets.append((str(bound), total))
        return [*buckets, ("+Inf", total + self._counts[-1])]


class CounterFamily:
    """Counters of one metric, each created when its label occurs for the first time.

    Args:
        counters: Counters of the process.
        name: Name of the metric without the suffix ``_total``.
        help_text: One sentence for operators.
        labels: Values of the label ``kind`` that are exported from the start. There may
            be others, but only a few.
    """

    __slots__ = ("_counters", "_help", "_members", "_name")

    def __init__(
        self, counters: "CounterSet", name: str, help_text: str, labels: Iterable[str]
    ) -> None:
        self._counters = counters
        self._name = name
        self._help = help_text
        self._members = {
            label: counters.counter(name, help_text, label) for label in labels
        }

    def add(self, label: str) -> None:
        """Count one occurrence with a label."""
        member = self._members.get(label)
        if member is None:
            member = self._counters.counter(self._name, self._help, label)
            self._members[label] = member
        member.value += 1


class CounterSet:
    """The counters and histograms of a process."""

    __slots__ = ("_histograms", "_counters")

    def __init__(self) -> None:
        self._counters: list[Counter] = []
        self._histograms: list[LatencyHistogram] = []

    def counter(self, name: str, help_text: str, label: str = "") -> Counter:
        """Create a counter.

        Args:
            name: Name of the metric without the suffix ``_total``.
            help_text: One sentence for operators.
            label: Value of the label ``kind``, empty for a metric without labels.

        Returns:
            The counter.
        """
        counter = Counter(name, help_text, label)
        self._counters.append(counter)
        return counter

    def histogram(self, name: str, help_text: str) -> LatencyHistogram:
        """Create a histogram of durations.

        Args:
            name: Name of the metric, which ends in ``_seconds``.
            help_text: One sentence for operators.

        Returns:
            The histogram.
        """
        histogram = LatencyHistogram(name, help_text)
        self._histograms.append(histogram)
        return histogram

    def values(self) -> dict[str, int]:
        """Return the value of each counter by its name and label."""
        return {
            f"{c.name}.{c.label}" if c.label else c.name: c.value
            for c in self._counters
        }

    def collect(self) -> "Iterator[Metric]":
        """Yield all metrics in the form of the metrics library."""
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        families: dict[str, CounterMetricFamily] = {}
        for counter in self._counters:
            labels = ["kind"] if counter.label else []
            family = families.get(counter.name)
            if family is None:
                family = CounterMetricFamily(counter.name, counter.help, labels=labels)
                families[counter.name] = family
            family.add_metric([counter.label] if counter.label else [], counter.value)
        yield from families.values()
        for histogram in self._histograms:
            yield HistogramMetricFamily(
                histogram.name,
                histogram.help,
                buckets=histogram.buckets(),
                sum_value=histogram.sum,
            )
