"""Reads answers of a publishing service that speaks HTTP and JSON."""

from typing import Generic, TypeVar

import msgspec
from msgspec import Struct

from balsamspool.kernel.decoding import decode_json_parts
from balsamspool.kernel.errors import ResultCode, ResultError
from balsamspool.minihttp.client import HttpClient, Response
from balsamspool.plugins.catalog.codes import (
    CATALOG_HISTORY_LOST,
    CATALOG_MALFORMED,
    CATALOG_UNAVAILABLE,
)
from balsamspool.plugins.catalog.revision import MAX_ERA

# Nesting of a record in an answer.
_RECORD_LEVEL = 2

T = TypeVar("T")


class Answer(Struct, Generic[T], frozen=True):
    """Content of an answer.

    Attributes:
        content: The decoded body.
        era: Era of the service that gave the answer, 0 if it publishes none.
    """

    content: T
    era: int


class HttpReader:
    """Sends requests and decodes the answers.

    Args:
        address: IPv4 address of the service.
        port: TCP port of the service.
        era_header: Header with the era of the service, in lower case.
    """

    __slots__ = ("_client", "_era_header")

    def __init__(self, address: str, port: int, era_header: str) -> None:
        # Open connections may go silent while new ones work.
        self._client = HttpClient(address, port)
        self._era_header = era_header

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def get(self, target: str, seconds: float, answer_type: type[T]) -> Answer[T]:
        """Send a request.

        Args:
            target: Path and query.
            seconds: Longest time until the answer in seconds.
            answer_type: Type of the body.

        Raises:
            ResultError: With code 2301 if the service does not answer, 2302 if the
                changes are no longer available, 2303 if the answer cannot be read.
        """
        try:
            response = await self._client.get(target, seconds)
        except OSError as error:  # includes TimeoutError
            raise ResultError(CATALOG_UNAVAILABLE, f"{target}: {error!r}") from error
        if response.status != 200:
            detail = f"{target} answered with status {response.status}"
            raise ResultError(_result_code(response.status), detail)
        decoder, body = msgspec.json.Decoder(answer_type), bytes(response.body)
        try:
            content = decode_json_parts(decoder, body, _RECORD_LEVEL)
            return Answer(content, self._era(response))
        except ValueError as error:
            raise ResultError(CATALOG_MALFORMED, f"{target}: {error}") from error

    def _era(self, response: Response) -> int:
        """Return the era of an answer, 0 if the service publishes none.

        Raises:
            ValueError: If the header is not an era.
        """
        text = response.headers.get(self._era_header, "0")
        if not text.isascii() or not text.isdigit() or int(text) > MAX_ERA:
            raise ValueError(f"{self._era_header} is {text!r}")
        return int(text)


def _result_code(status: int) -> ResultCode:
    return CATALOG_HISTORY_LOST if status == 410 else CATALOG_UNAVAILABLE
