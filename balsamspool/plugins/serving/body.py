"""Reads request bodies before a slot is taken."""

import asyncio
from collections.abc import AsyncIterator

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.serving.codes import (
    BODY_LIMIT_PASSED,
    BODY_TOO_LARGE,
    DEADLINE_PASSED,
)
from balsamspool.requests.request import Request

# Bodies up to this size are read before a slot is taken, so that a slow uploader holds
# none and the body can be sent to another host.
BUFFERED_BYTES = 64 * 1024
# The digest of a keyed request covers its whole body, which must be read before.
KEYED_BODY_BYTES = 1024 * 1024


async def read_body(request: Request, buffered: int, limit: int) -> None:
    """Read a body that is small enough into ``request.content``.

    Args:
        request: The request. A larger body stays in ``request.body``, unshortened.
        buffered: Largest body that is read in bytes.
        limit: Largest body that is allowed in bytes.

    Raises:
        ResultError: With code 2103 if the body is too large, 2102 if it did not arrive
            before the deadline.
    """
    announced = request.number("content-length")
    if announced is not None and announced > limit:
        detail = f"{announced} bytes are more than {limit}"
        raise ResultError(BODY_TOO_LARGE, detail)
    data = bytearray()
    source = request.body
    try:
        async with asyncio.timeout_at(request.deadline and request.deadline.at):
            async for chunk in source:
                data += chunk
                if len(data) > limit:
                    detail = f"the body has more than {limit} bytes"
                    raise ResultError(BODY_TOO_LARGE, detail)
                if len(data) > buffered:
                    request.body = _remainder(bytes(data), source, limit)
                    return
    except TimeoutError as error:
        detail = f"{len(data)} bytes of the body had arrived"
        raise ResultError(DEADLINE_PASSED, detail) from error
    request.content = bytes(data)
    request.body = content_chunks(request.content)


async def content_chunks(content: bytes) -> AsyncIterator[bytes]:
    """Yield a body that has been read."""
    if content:
        yield content


async def _remainder(
    first: bytes, source: AsyncIterator[bytes], limit: int
) -> AsyncIterator[bytes]:
    size = len(first)
    yield first
    async for chunk in source:
        size += len(chunk)
        if size > limit:
            detail = f"the body has more than {limit} bytes"
            raise ResultError(BODY_LIMIT_PASSED, detail)
        yield chunk
