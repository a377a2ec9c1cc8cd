"""HTTP client of the platform's configuration service."""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from msgspec import Meta, Struct

from balsamspool.kernel.decoding import decode_json
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.platform.codes import (
    PLATFORM_MALFORMED,
    PLATFORM_UNAVAILABLE,
)

# Largest accepted answer. The platform holds values up to a megabyte; JSON escapes may
# double the size.
MAX_ANSWER_BYTES = 2 * 1024 * 1024 + 1024
# Time added to the wait of a watch to allow for the round trip.
ANSWER_MARGIN_SECONDS = 3.0
# Time limit for connecting to one address of the platform. After this time, the next
# address is used.
CONNECT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class PlatformValue:
    """A published value.

    Attributes:
        revision: Revision of the value; a higher one is newer.
        value: The published text.
        size: Bytes of the answer's body on the wire, 0 if unknown.
    """

    revision: int
    value: str
    size: int = 0


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The value did not change during the wait."""


class _Answer(Struct, frozen=True):
    revision: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
    value: str


_decoder = msgspec.json.Decoder(_Answer)


class PlatformClient:
    """Reads values from the platform.

    Args:
        session: HTTP session.
        address: Base URL of the platform.
    """

    __slots__ = ("_address", "_session")

    def __init__(self, session: ClientSession, address: str) -> None:
        self._session = session
        self._address = address

    async def watch(
        self, name: str, after: int, wait: float
    ) -> PlatformValue | Unchanged:
        """Wait for a value whose revision differs from a known one.

        Args:
            name: Name of the value.
            after: Known revision, 0 for none.
            wait: Longest wait in seconds; 0 reads immediately.

        Returns:
            The value, or Unchanged when the wait ended.

        Raises:
            ResultError: With code 2201 if the platform does not answer, 2202 if its
                answer cannot be read.
        """
        url = f"{self._address}/values/{name}?after={after}&wait={wait:.2f}"
        timeout = ClientTimeout(
            total=wait + ANSWER_MARGIN_SECONDS, sock_connect=CONNECT_SECONDS
        )
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if response.status == 204:
                    return Unchanged()
                if response.status != 200:
                    detail = f"{url} answered with status {response.status}"
                    raise ResultError(PLATFORM_UNAVAILABLE, detail)
                body = await response.content.read(MAX_ANSWER_BYTES)
                while chunk := await response.content.read(MAX_ANSWER_BYTES):
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        raise ResultError(PLATFORM_MALFORMED, f"{url}: too large")
        except (TimeoutError, ClientError, OSError) as error:
            raise ResultError(PLATFORM_UNAVAILABLE, f"{url}: {error!r}") from error
        try:
            return decode_answer(body, _wire_bytes(response, body))
        except ValueError as error:
            raise ResultError(PLATFORM_MALFORMED, f"{url}: {error}") from error


def decode_answer(body: bytes, size: int = 0) -> PlatformValue:
    """Decode the body of an answer.

    Args:
        body: JSON object with ``revision`` and ``value``.
        size: Bytes of the body on the wire.

    Returns:
        The value.

    Raises:
        ValueError: If the body is no JSON object of this form.
    """
    answer = decode_json(_decoder, body)
    return PlatformValue(answer.revision, answer.value, size)


def _wire_bytes(response: ClientResponse, body: bytes) -> int:
    # The body has been decompressed; the Content-Length header gives its wire size.
    return response.content_length or len(body)
