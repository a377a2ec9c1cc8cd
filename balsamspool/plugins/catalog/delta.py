"""Records that one process passes on to another."""

import zlib

import msgspec
from msgspec import Struct

from balsamspool.plugins.catalog.model import Record

# Level of compression. Route tables repeat their field values, and a higher level takes
# longer than the time that it saves on the link of a small instance.
COMPRESSION_LEVEL = 1
# Maximum size of a decompressed message, well above a catalog of 10,000 records.
MAX_BYTES = 16 << 20


class CatalogDelta(Struct, frozen=True):
    """The records that changed after a revision, or all records.

    Attributes:
        revision: Revision up to which the sender knows all changes.
        complete: Whether ``records`` are all records of the catalog, and not only those
            that changed after the requested revision.
        records: The records.
        age: Seconds since the publishing service last answered the sender or the
            process that the sender follows, None if it never has.
        outage_age: Seconds since the end of the last outage that the sender knows, None
            without an outage.
    """

    revision: int
    complete: bool
    records: tuple[Record, ...]
    age: float | None
    outage_age: float | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CatalogDelta)


def encode_delta(delta: CatalogDelta) -> bytes:
    """Encode a delta."""
    return zlib.compress(_encoder.encode(delta), COMPRESSION_LEVEL)


def decode_delta(data: bytes) -> CatalogDelta:
    """Decode a delta.

    Raises:
        ValueError: If the data is not a delta, or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(data, MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a compressed message: {error}") from error
    if not decompressor.eof:
        raise ValueError("the message is cut off or too large")
    return _decoder.decode(message)
