"""A caller's request, independent of the protocol that carries it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from balsamspool.kernel.clock import Deadline

Headers = list[tuple[str, str]]

TIMEOUT_HEADER = "request-timeout-ms"
# Largest number of digits in a numeric header field. Longer values are not plausible
# lengths or times and would be slow to convert.
MAX_DIGITS = 18


@dataclass(slots=True)
class Request:
    """One request.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: Header fields with names in lower case, without connection fields.
        body: Chunks of the body.
        deadline: Time by which the caller wants the answer, None for feeds and until
            the route is known.
        trace_context: Value of ``traceparent`` for the next hop, empty if there is
            none.
        relayed: Whether a peer relayed the request; it must not be relayed again.
        content: Complete body if it has been read and can be sent again, or None.
    """

    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes]
    deadline: Deadline | None = None
    trace_context: str = ""
    relayed: bool = field(default=False)
    content: bytes | None = None

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, named in lower case, or None."""
        return next((value for key, value in self.headers if key == name), None)

    def number(self, name: str) -> int | None:
        """Return the first value of a header field as a number, or None."""
        value = self.header(name) or ""
        valid = value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS
        return int(value) if valid else None

    def replace_header(self, name: str, value: str | None) -> None:
        """Replace the values of a header field, named in lower case, by one or none."""
        self.headers = [pair for pair in self.headers if pair[0] != name]
        if value is not None:
            self.headers.append((name, value))

    def set_timeout_header(self) -> None:
        """Set the timeout header to the remaining time, for the next hop."""
        if self.deadline is not None:
            remaining_ms = max(1, int(self.deadline.remaining * 1000))
            self.replace_header(TIMEOUT_HEADER, str(remaining_ms))
