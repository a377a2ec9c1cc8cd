"""Phases of the graceful close of a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Open:
    """The connection accepts requests."""


@dataclass(frozen=True, slots=True)
class Announced:
    """The graceful close has started; requests are accepted until the final GOAWAY.

    Attributes:
        final_goaway_at: Event loop time in seconds at which the final GOAWAY is sent.
            The final GOAWAY rejects all later requests.
        feeds_until: Event loop time in seconds at which feeds are cancelled, None for
            no limit.
    """

    final_goaway_at: float
    feeds_until: float | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """No further request is accepted; the connection closes after the last answer.

    Attributes:
        feeds_until: Event loop time in seconds at which feeds are cancelled, None for
            no limit.
    """

    feeds_until: float | None


@dataclass(frozen=True, slots=True)
class Closing:
    """The close of the connection has been sent to the caller."""


Phase = Open | Announced | Leaving | Closing
