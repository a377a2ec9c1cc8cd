"""Weights of hosts for rendezvous hashing."""

from collections.abc import Collection
from dataclasses import dataclass

SLOW_START_SECONDS = 30.0
SLOW_START_STEPS = 6
MIN_START_FACTOR = 0.2
MIN_LISTED_WEIGHT = 0.1
MAX_LISTED_WEIGHT = 10.0

# Upper bounds of load, each with the weight factor that applies below the bound. There
# are few steps, so that small changes of load do not move flow keys. The minimum factor
# applies to all higher loads and limits the effect of a wrong report: among 7 equal
# hosts, the share of one host stays between 0.54 and 1.75 times an equal share.
_LOAD_STEPS = ((64, 1.0), (128, 0.85), (192, 0.65))
_MIN_LOAD_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class HostReport:
    """Facts about a host that accepts new flows.

    Attributes:
        listed_weight: Weight in the platform's list, 1 if the list has none.
        load: Load from a direct signal, 0 to 255, None without a recent signal.
        age: Seconds since the host began to accept new flows, None if it is warm.
    """

    listed_weight: float = 1.0
    load: int | None = None
    age: float | None = None


def weight_of(report: HostReport) -> float:
    """Return the weight of a host.

    Args:
        report: Facts about the host.

    Returns:
        The weight, at least 0.01.
    """
    listed = min(max(report.listed_weight, MIN_LISTED_WEIGHT), MAX_LISTED_WEIGHT)
    return listed * _load_factor(report.load) * _start_factor(report.age)


class HostAges:
    """Tracks how long each host has accepted new flows.

    The hosts of the first view count as warm, because they may have served for a long
    time before this process started. A host that appears or returns later is cold.
    """

    __slots__ = ("_since",)

    def __init__(self) -> None:
        self._since: dict[str, float | None] | None = None

    def update(self, names: Collection[str], time: float) -> None:
        """Record which hosts accept new flows now.

        Args:
            names: Names of the hosts.
            time: Event loop time in seconds.
        """
        if self._since is None:
            if names:
                self._since = dict.fromkeys(names)
            return
        known = self._since
        self._since = {name: known.get(name, time) for name in names}

    def age(self, name: str, time: float) -> float | None:
        """Return the seconds since a host was first seen, None if it is warm."""
        since = self._since.get(name) if self._since is not None else None
        if since is None or time - since >= SLOW_START_SECONDS:
            return None
        return time - since


def _load_factor(load: int | None) -> float:
    if load is None:
        return 1.0
    for bound, factor in _LOAD_STEPS:
        if load < bound:
            return factor
    return _MIN_LOAD_FACTOR


def _start_factor(age: float | None) -> float:
    if age is None or age >= SLOW_START_SECONDS:
        return 1.0
    step = int(max(age, 0.0) / SLOW_START_SECONDS * SLOW_START_STEPS)
    return MIN_START_FACTOR + (1.0 - MIN_START_FACTOR) * step / SLOW_START_STEPS
