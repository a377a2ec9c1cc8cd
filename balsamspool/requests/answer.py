"""Writing the answer to a request."""

from abc import ABC, abstractmethod

import msgspec

from balsamspool.kernel.errors import ResultError
from balsamspool.requests.request import Headers

RESULT_HEADER = "balsamspool-result"


class ResponseWriter(ABC):
    """Sends the answer to one request, part by part."""

    __slots__ = ()

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether the status has been sent."""

    @abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Send status and header fields."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the answer as complete."""

    @abstractmethod
    async def abort(self, error: ResultError) -> None:
        """End a started answer so that the caller sees that it is incomplete."""


async def write_error(writer: ResponseWriter, error: ResultError) -> None:
    """Answer with a result code, or abort the answer if it has been started.

    Args:
        writer: Where the answer goes.
        error: What went wrong.
    """
    if writer.started:
        await writer.abort(error)
        return
    code = error.code
    body = msgspec.json.encode(
        {
            "code": code.number,
            "name": code.name,
            "detail": error.detail,
            "outcome": code.outcome.value,
        }
    )
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        (RESULT_HEADER, str(code.number)),
    ]
    if error.retry_after is not None:
        headers.append(("retry-after", str(max(1, round(error.retry_after)))))
    await writer.start(code.status or 500, headers)
    await writer.write(body)
    await writer.finish()
