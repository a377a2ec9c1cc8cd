"""The compared systems: which parts of the product's policy each one uses."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Rendezvous:
    """Rendezvous hashing, the host choice of the product.

    Attributes:
        weighted: Whether a host's weight depends on its load and age.
    """

    weighted: bool = True


@dataclass(frozen=True, slots=True)
class RandomHost:
    """Each host with equal probability."""


@dataclass(frozen=True, slots=True)
class LeastConnections:
    """The host with the fewest connections by its last report."""


HostChoice = Rendezvous | RandomHost | LeastConnections


@dataclass(frozen=True, slots=True)
class System:
    """One compared system: its host choice and the parts of the policy in use.

    Attributes:
        name: Name in the table.
        choice: Host choice of new flows.
        handover: Whether a busy agent hands new flows over.
        relay: Whether agents relay queued requests.
        protection: Whether long requests leave a slot free for short requests.
        estimates: Whether the queue and shedding use learnt durations. Otherwise the
            queue is first in, first out.
        outlier_detection: Whether a suspended backend server gets no requests.
        slow_start: Whether a cold backend server gets its slots one by one.
        deadlines: Whether work is cancelled when its caller has left.
    """

    name: str
    choice: HostChoice = field(default_factory=Rendezvous)
    handover: bool = True
    relay: bool = True
    protection: bool = True
    estimates: bool = True
    outlier_detection: bool = True
    slow_start: bool = True
    deadlines: bool = True


def _without_features(name: str, choice: HostChoice) -> System:
    return System(
        name,
        choice,
        handover=False,
        relay=False,
        protection=False,
        estimates=False,
        outlier_detection=False,
        slow_start=False,
        deadlines=False,
    )


PRODUCT = System("product")
SYSTEMS = (
    PRODUCT,
    System("without weights", Rendezvous(weighted=False)),
    System("without hand-over", handover=False),
    System("without relay", relay=False),
    System("without protection", protection=False),
    System("without estimates", estimates=False),
    System("fifo queue", protection=False, estimates=False),
    System("without judge", outlier_detection=False),
    System("without slow start", slow_start=False),
    _without_features("random host", RandomHost()),
    _without_features("least connections", LeastConnections()),
)
