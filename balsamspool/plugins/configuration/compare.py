"""Comparison of two configuration texts."""

from collections.abc import Iterator
from dataclasses import dataclass

from msgspec import structs

from balsamspool.plugins.configuration.text import Service, Text


@dataclass(frozen=True, slots=True)
class ServiceAdded:
    """A service is new."""

    service: str
    number: int


@dataclass(frozen=True, slots=True)
class ServiceRemoved:
    """A service is removed; its open flows end."""

    service: str
    number: int


@dataclass(frozen=True, slots=True)
class ServiceMoved:
    """A service has another number, which tokens of its open flows would not match."""

    service: str
    before: int
    after: int


@dataclass(frozen=True, slots=True)
class NumberReused:
    """A number was reassigned; its new service could get packets of its old service."""

    number: int
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class FieldChanged:
    """A field of a service differs, such as ``limits.queue_per_host``."""

    service: str
    field: str
    before: object
    after: object


@dataclass(frozen=True, slots=True)
class KeyAdded:
    """A key number is new."""

    number: int


@dataclass(frozen=True, slots=True)
class KeyRemoved:
    """A key number is removed; flows whose token uses it break."""

    number: int


@dataclass(frozen=True, slots=True)
class KeyReplaced:
    """A key number has another secret, so flows that use it break.

    This change is permitted. A process that missed some revisions cannot distinguish it
    from a number that was removed and reused, and could never apply a later text if it
    refused the change.
    """

    number: int


@dataclass(frozen=True, slots=True)
class ActiveKeyChanged:
    """Another key protects new tokens, datagrams and messages."""

    before: int
    after: int


@dataclass(frozen=True, slots=True)
class HostDraining:
    """A host is to accept no new work."""

    host: str


@dataclass(frozen=True, slots=True)
class HostReturned:
    """A host may accept new work again."""

    host: str


@dataclass(frozen=True, slots=True)
class NetworksChanged:
    """Hosts may have their addresses in other networks."""

    before: tuple[str, ...]
    after: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DependencyChanged:
    """A dependency that is not a service is added, removed or has another limit."""

    dependency: str


Change = (
    ServiceAdded
    | ServiceRemoved
    | ServiceMoved
    | NumberReused
    | FieldChanged
    | KeyAdded
    | KeyRemoved
    | KeyReplaced
    | ActiveKeyChanged
    | HostDraining
    | HostReturned
    | NetworksChanged
    | DependencyChanged
)


def compare_texts(before: Text, after: Text) -> list[Change]:
    """List the changes between two texts.

    Args:
        before: Text in force.
        after: Text to be submitted.

    Returns:
        The changes, in the order services, dependencies, keys, hosts.
    """
    return [
        *_service_changes(before, after),
        *_dependency_changes(before, after),
        *_key_changes(before, after),
        *_host_changes(before, after),
    ]


def refusal(change: Change) -> str | None:
    """Return why a change is refused, or None if it is permitted.

    Args:
        change: One change between the text in force and an offered one.
    """
    match change:
        case ServiceMoved(service, before, after):
            return f"service {service!r} moves from number {before} to {after}"
        case NumberReused(number, before, after):
            return f"number {number} changes from service {before!r} to {after!r}"
        case _:
            return None


def _service_changes(before: Text, after: Text) -> Iterator[Change]:
    names_by_number = {
        service.number: name for name, service in before.services.items()
    }
    for name, service in before.services.items():
        if name not in after.services:
            yield ServiceRemoved(name, service.number)
    for name, service in after.services.items():
        known = before.services.get(name)
        earlier_name = names_by_number.get(service.number, name)
        if earlier_name != name:
            yield NumberReused(service.number, earlier_name, name)
        if known is None:
            yield ServiceAdded(name, service.number)
        elif known.number != service.number:
            yield ServiceMoved(name, known.number, service.number)
        if known is not None:
            yield from _field_changes(name, known, service)


def _field_changes(name: str, before: Service, after: Service) -> Iterator[Change]:
    for part in ("limits", "drain"):
        old, new = getattr(before, part), getattr(after, part)
        for field in structs.fields(old):
            values = getattr(old, field.name), getattr(new, field.name)
            if values[0] != values[1]:
                yield FieldChanged(name, f"{part}.{field.name}", *values)
    for part in ("address", "depends_on", "routes"):
        values = getattr(before, part), getattr(after, part)
        if values[0] != values[1]:
            yield FieldChanged(name, part, *values)


def _dependency_changes(before: Text, after: Text) -> Iterator[Change]:
    for name in sorted(before.dependencies.keys() | after.dependencies.keys()):
        if before.dependencies.get(name) != after.dependencies.get(name):
            yield DependencyChanged(name)


def _key_changes(before: Text, after: Text) -> Iterator[Change]:
    old, new = before.keys.secrets, after.keys.secrets
    for number in sorted(old.keys() | new.keys()):
        if number not in old:
            yield KeyAdded(int(number))
        elif number not in new:
            yield KeyRemoved(int(number))
        elif old[number].lower() != new[number].lower():
            yield KeyReplaced(int(number))
    if before.keys.active != after.keys.active:
        yield ActiveKeyChanged(before.keys.active, after.keys.active)


def _host_changes(before: Text, after: Text) -> Iterator[Change]:
    for host in sorted(set(after.draining_hosts) - set(before.draining_hosts)):
        yield HostDraining(host)
    for host in sorted(set(before.draining_hosts) - set(after.draining_hosts)):
        yield HostReturned(host)
    if sorted(before.host_networks) != sorted(after.host_networks):
        yield NetworksChanged(tuple(before.host_networks), tuple(after.host_networks))
