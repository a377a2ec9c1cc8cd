"""A fault and the time at which it starts."""

from dataclasses import dataclass
from typing import Generic, TypeVar

F = TypeVar("F")


@dataclass(frozen=True, slots=True)
class Step(Generic[F]):
    """One fault of a schedule.

    Attributes:
        at: Time after the start of the load in seconds.
        fault: The fault.
    """

    at: float
    fault: F
