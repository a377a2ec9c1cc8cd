"""Reads request bodies before admission."""

import asyncio
from collections.abc import AsyncIterator

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.serving.codes import (
    BODY_LIMIT_PASSED,
    BODY_TOO_LARGE,
    DEADLINE_PASSED,
)
from balsamspool.requests.request import Request

# Bodies up to this size are read before admission, so that a slow upload occupies no
# slot and the body can be sent again to another host.
MAX_BUFFERED_BYTES = 64 * 1024
# Largest body of a request with a key. The whole body must be read before admission,
# since the digest of the request covers the body.
MAX_KEYED_BODY_BYTES = 1024 * 1024


async def read_body(request: Request, buffer_limit: int, limit: int) -> None:
    """Read a body into ``request.content`` if it is small enough.

    Args:
        request: The request. A larger body can still be read in full from
            ``request.body``.
        buffer_limit: Largest body in bytes that is read.
        limit: Largest body in bytes that is allowed.

    Raises:
        ResultError: With code 2103 if the body is too large, 2102 if it did not arrive
            before the deadline.
    """
    content_length = request.number("content-length")
    if content_length is not None and content_length > limit:
        detail = f"content-length {content_length} exceeds the limit of {limit} bytes"
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
                if len(data) > buffer_limit:
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
