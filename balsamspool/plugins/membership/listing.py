"""Reads the platform's instance list."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from balsamspool.kernel.decoding import decode_json, decode_json_parts
from balsamspool.plugins.membership.instance import Instance

# Largest number of instances in a list that is accepted, about twice the growth target
# of 4,740 instances.
MAX_INSTANCES = 10_000
MAX_LIST_BYTES = 2_000_000
# Nesting of a record in a list.
_RECORD_LEVEL = 1

_list_decoder = msgspec.json.Decoder(list[Instance])
_raw_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_record_decoder = msgspec.json.Decoder(Instance)


@dataclass(frozen=True, slots=True)
class Listing:
    """Contents of a readable list.

    Attributes:
        instances: Valid records by name of the instance.
        faults: What is wrong with each record that was left out.
    """

    instances: dict[str, Instance]
    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UnreadableList:
    """A list that cannot be used.

    Attributes:
        detail: What is wrong.
    """

    detail: str


def read_list(text: str) -> Listing | UnreadableList:
    """Read an instance list.

    An invalid record is left out and the others are used. Otherwise one faulty host
    could freeze the view of the whole fleet.

    Args:
        text: JSON array of records.

    Returns:
        The usable records, or why there are none.
    """
    if len(text) > MAX_LIST_BYTES:
        return UnreadableList(
            f"the list has {len(text)} characters, more than {MAX_LIST_BYTES}"
        )
    try:
        records = _records(text)
    except ValueError as error:
        return UnreadableList(str(error))
    if len(records) > MAX_INSTANCES:
        return UnreadableList(
            f"the list has {len(records)} records, more than {MAX_INSTANCES}"
        )
    instances: dict[str, Instance] = {}
    endpoints: set[tuple[str, int]] = set()
    faults: list[str] = []
    for index, instance in enumerate(records):
        if isinstance(instance, ValueError):
            faults.append(f"record {index}: {instance}")
            continue
        fault = instance.problem()
        if instance.instance in instances:
            fault = f"instance {instance.instance!r} is listed twice"
        elif instance.endpoint in endpoints:
            fault = f"{instance.address}:{instance.data_port} is listed twice"
        if fault is not None:
            faults.append(f"record {index}: {fault}")
            continue
        instances[instance.instance] = instance
        endpoints.add(instance.endpoint)
    if records and not instances:
        return UnreadableList(f"no record is valid; {faults[0]}")
    return Listing(instances, tuple(faults))


def _records(text: str) -> Sequence[Instance | ValueError]:
    """Return each record, or what is wrong with it.

    Decoding 4,740 records one by one takes twice as long as decoding them together,
    and blocks the event loop. So records are decoded one by one only if at least one
    of them is invalid.
    """
    data = text.encode()
    try:
        return decode_json(_list_decoder, data)
    except ValueError:
        raw = decode_json_parts(_raw_decoder, data, _RECORD_LEVEL)
        return [_record(bytes(record)) for record in raw]


def _record(data: bytes) -> Instance | ValueError:
    try:
        return decode_json(_record_decoder, data)
    except ValueError as error:
        return error
