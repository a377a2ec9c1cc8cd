"""Records that one process passes on to another."""

import logging
import zlib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from balsamspool.kernel.decoding import decode
from balsamspool.plugins.catalog.events import RECORD_IGNORED
from balsamspool.plugins.catalog.model import Record
from balsamspool.plugins.catalog.revision import (
    Revision,
    decode_revision,
    encode_revision,
)

# Level of compression. Route tables repeat their field values, and a higher level takes
# longer than the time that it saves on the link of a small instance.
COMPRESSION_LEVEL = 1
# Maximum size of decompressed records, well above a catalog of 10,000 records.
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
        all_tables: Whether ``records`` contain each route table since the requested
            revision, and not only the newest. Earlier versions do not say so.
        cordons: Whether ``records`` contain which failure domains are out of service.
            Earlier versions do not know it.
    """

    revision: Revision
    complete: bool
    records: tuple[Record, ...]
    age: float | None
    outage_age: float | None = None
    all_tables: bool = False
    cordons: bool = True


_logger = logging.getLogger(__name__)

# An age that is not a number, negative or infinite would become the time of the last
# answer, with which no other time can be compared.
_Age = Annotated[float, Meta(ge=0, le=1e9)]


class _Message(Struct, array_like=True):
    revision: Revision
    complete: bool
    records: bytes  # compressed
    age: _Age | None
    outage_age: _Age | None
    all_tables: bool = False
    cordons: bool = False


_encoder = msgspec.msgpack.Encoder(enc_hook=encode_revision)
_decoder = msgspec.msgpack.Decoder(_Message, dec_hook=decode_revision)
_records_decoder = msgspec.msgpack.Decoder(tuple[Record, ...], dec_hook=decode_revision)
_parts_decoder = msgspec.msgpack.Decoder(tuple[msgspec.Raw, ...])
_record_decoder = msgspec.msgpack.Decoder(Record, dec_hook=decode_revision)


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Encode the records of a delta, which is the costly part of a message."""
    return zlib.compress(_encoder.encode(records), COMPRESSION_LEVEL)


def encode_delta(delta: CatalogDelta, records: bytes | None = None) -> bytes:
    """Encode a delta.

    Args:
        delta: The delta.
        records: Its encoded records, None to encode them.
    """
    encoded = encode_records(delta.records) if records is None else records
    message = _Message(
        delta.revision,
        delta.complete,
        encoded,
        delta.age,
        delta.outage_age,
        delta.all_tables,
        delta.cordons,
    )
    return _encoder.encode(message)


def decode_delta(data: bytes) -> CatalogDelta:
    """Decode a delta.

    Raises:
        ValueError: If the data is not a delta, or is too large.
    """
    message = decode(_decoder, data)
    decompressor = zlib.decompressobj()
    try:
        records = decompressor.decompress(message.records, MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"the records cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError("the records are cut off or too large")
    return CatalogDelta(
        message.revision,
        message.complete,
        _decode_records(records),
        message.age,
        message.outage_age,
        message.all_tables,
        message.cordons,
    )


def _decode_records(data: bytes) -> tuple[Record, ...]:
    """Decode records, without those that a peer of another version wrongly passes on.

    Raises:
        ValueError: If the records cannot be told apart.
    """
    try:
        return decode(_records_decoder, data)
    except ValueError:
        parts = decode(_parts_decoder, data)
    records: list[Record] = []
    for part in parts:
        try:
            records.append(decode(_record_decoder, bytes(part)))
        except ValueError as error:
            RECORD_IGNORED.log(_logger, detail=str(error))
    return tuple(records)
