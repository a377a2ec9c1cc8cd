"""A caller's request, independent of the protocol that carried it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from balsamspool.kernel.clock import Deadline

Headers = list[tuple[str, str]]

TIMEOUT_HEADER = "request-timeout-ms"
# Longer numbers are no lengths or times and would be slow to convert.
MAX_DIGITS = 18


@dataclass(slots=True)
class Request:
    """One request.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: Header fields in lower case, without those of the connection.
        body: Chunks of the body.
        deadline: Time by which the caller wants the answer, None until classified.
        trace_context: Value of ``traceparent`` for the next hop, empty for none.
        relayed: Whether a peer relayed it, so that it must not be relayed again.
        content: Whole body if it has been read, so that it can be sent again, or None.
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
        """Return the first header field with a name in lower case, or None."""
        return next((value for key, value in self.headers if key == name), None)

    def number(self, name: str) -> int | None:
        """Return the first header field with a name as a number, or None."""
        value = self.header(name) or ""
        valid = value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS
        return int(value) if valid else None

    def replace_header(self, name: str, value: str | None) -> None:
        """Set the only header field with a name in lower case; None removes it."""
        self.headers = [pair for pair in self.headers if pair[0] != name]
        if value is not None:
            self.headers.append((name, value))

    def pass_deadline(self) -> None:
        """Set the header field that carries the time left to the next hop."""
        if self.deadline is not None:
            left = max(1, int(self.deadline.remaining * 1000))
            self.replace_header(TIMEOUT_HEADER, str(left))
