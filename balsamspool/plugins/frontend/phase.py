"""Phases of a connection on its way to a graceful end."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Open:
    """The connection takes requests."""


@dataclass(frozen=True, slots=True)
class Announced:
    """The caller has been told that the connection will end.

    Attributes:
        final_at: Event loop time in seconds of the GOAWAY that names the last request.
        feeds_until: Event loop time in seconds at which feeds end, None for no limit.
    """

    final_at: float
    feeds_until: float | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """No further request is taken; the connection ends when the last one has ended.

    Attributes:
        feeds_until: Event loop time in seconds at which feeds end, None for no limit.
    """

    feeds_until: float | None


@dataclass(frozen=True, slots=True)
class Closing:
    """The end of the connection has been sent."""


Phase = Open | Announced | Leaving | Closing
