"""Passes an answer from the task that runs a request to the task of its caller."""

from asyncio import Queue
from dataclasses import dataclass

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.admission.keys import MAX_ANSWER_BYTES, Done, KeptAnswer, Ran
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.request import Headers

# Maximum number of parts of an answer that are buffered for a slow caller.
MAX_PIPE_PARTS = 4


@dataclass(frozen=True, slots=True)
class _Head:
    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class _Data:
    data: bytes


@dataclass(frozen=True, slots=True)
class _End:
    pass


@dataclass(frozen=True, slots=True)
class _Failure:
    error: ResultError


class AnswerPipe(ResponseWriter):
    """Passes an answer to its caller until detached, and keeps a small answer."""

    __slots__ = ("_attached", "_body", "_head", "_parts")

    def __init__(self) -> None:
        self._parts: Queue[_Head | _Data | _End | _Failure] = Queue(MAX_PIPE_PARTS)
        self._attached = True
        self._head: _Head | None = None
        # The part of the body that has been written, or None once the body is too large
        # to be kept.
        self._body: bytearray | None = bytearray()

    @property
    def started(self) -> bool:
        """Whether the status has been passed on."""
        return self._head is not None

    @property
    def result(self) -> Done | Ran:
        """State of the request after its complete answer has been written."""
        assert self._head is not None
        if self._body is None:
            return Ran(self._head.status)
        head = self._head
        return Done(KeptAnswer(head.status, head.headers, bytes(self._body)))

    async def start(self, status: int, headers: Headers) -> None:
        """Pass on status and header fields."""
        self._head = _Head(status, headers)
        await self._put(self._head)

    async def write(self, data: bytes) -> None:
        """Pass on a part of the body; waits while the caller reads slowly."""
        if self._body is not None:
            self._body += data
            if len(self._body) > MAX_ANSWER_BYTES:
                self._body = None
        await self._put(_Data(data))

    async def finish(self) -> None:
        """Do nothing; ``end`` marks the answer as complete after it is recorded."""

    async def abort(self, error: ResultError) -> None:
        """Pass on the error that left the answer incomplete."""
        await self.end(error)

    async def end(self, error: ResultError | None) -> None:
        """Pass on the end of the answer, or the error that left it incomplete."""
        await self._put(_Failure(error) if error else _End())

    def detach(self) -> None:
        """Pass on no more parts, so that the request continues without its caller."""
        self._attached = False
        while not self._parts.empty():
            self._parts.get_nowait()

    async def copy_to(self, writer: ResponseWriter) -> None:
        """Write the answer as it arrives.

        Args:
            writer: Where the answer goes.

        Raises:
            ResultError: If the answer is incomplete.
        """
        while True:
            match await self._parts.get():
                case _Head(status, headers):
                    await writer.start(status, headers)
                case _Data(data):
                    await writer.write(data)
                case _End():
                    await writer.finish()
                    return
                case _Failure(error):
                    raise error

    async def _put(self, part: _Head | _Data | _End | _Failure) -> None:
        if self._attached:
            await self._parts.put(part)
