"""The operator's configuration text as data classes."""

from typing import Annotated

from msgspec import Meta, Struct, field

from balsamspool.kernel.keyring import KeySet
from balsamspool.kernel.settings import Name

FORMAT = 1

Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
PathPrefix = Annotated[str, Meta(pattern="^/")]


class RequestRoute(
    Struct, frozen=True, forbid_unknown_fields=True, tag="request", tag_field="kind"
):
    """Route whose requests are short.

    Attributes:
        path: Prefix of the request path.
        repeatable: Whether a request may run more than once.
        require_key: Whether a request that is not repeatable needs a request key.
        deadline_ms: Longest time to an answer in milliseconds, None for the limit of
            the service.
    """

    path: PathPrefix
    repeatable: bool = True
    require_key: bool = True
    deadline_ms: Milliseconds | None = None


class DownloadRoute(
    Struct, frozen=True, forbid_unknown_fields=True, tag="download", tag_field="kind"
):
    """Route whose answers may be large and take long.

    Attributes:
        path: Prefix of the request path.
        deadline_ms: Longest time to an answer in milliseconds, None for the limit of
            the service.
    """

    path: PathPrefix
    deadline_ms: Milliseconds | None = None


class FeedRoute(
    Struct, frozen=True, forbid_unknown_fields=True, tag="feed", tag_field="kind"
):
    """Route whose answers stay open and occupy no slot.

    Attributes:
        path: Prefix of the request path.
    """

    path: PathPrefix


Route = RequestRoute | DownloadRoute | FeedRoute


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one service.

    Attributes:
        slots_per_host: Requests that a backend server processes at the same time.
        connections_per_host: Open connections on one host.
        queue_per_host: Requests that wait for a slot on one host.
        request_body_bytes: Largest request body in bytes.
        deadline_ms: Longest time to an answer in milliseconds.
        key_seconds: Lifetime of a request key in seconds.
    """

    slots_per_host: Annotated[int, Meta(ge=1, le=10_000)] = 2
    connections_per_host: Annotated[int, Meta(ge=1, le=100_000)] = 2_000
    queue_per_host: Annotated[int, Meta(ge=0, le=100_000)] = 64
    request_body_bytes: Annotated[int, Meta(ge=0, le=1 << 30)] = 65_536
    deadline_ms: Milliseconds = 10_000
    key_seconds: Annotated[int, Meta(ge=1, le=86_400)] = 600


class Drain(Struct, frozen=True, forbid_unknown_fields=True):
    """How a leaving host treats open feeds.

    Attributes:
        feed_seconds: How long open feeds are kept, in seconds; 0 for no limit.
    """

    feed_seconds: Annotated[float, Meta(ge=0)] = 0.0


class Service(Struct, frozen=True, forbid_unknown_fields=True):
    """One service.

    Attributes:
        number: Number of the service in packets, never reassigned to another service.
        address: Public address as ``IPv4:port``.
        depends_on: Names of the services and dependencies that the service needs.
        routes: Routes; the one with the longest matching path applies.
        limits: Limits of the service.
        drain: How a leaving host treats open feeds.
    """

    number: Annotated[int, Meta(ge=1, le=65_535)]
    address: str
    depends_on: list[str] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)
    drain: Drain = field(default_factory=Drain)

    def route(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        matching = [route for route in self.routes if path.startswith(route.path)]
        return max(matching, key=lambda route: len(route.path), default=None)


class Dependency(Struct, frozen=True, forbid_unknown_fields=True):
    """A dependency of services that is not a service itself.

    Attributes:
        concurrent_requests: Requests that the dependency can process at the same time,
            None if unknown.
    """

    concurrent_requests: Annotated[int, Meta(ge=1)] | None = None


class Text(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration text.

    Attributes:
        format: Version of the format.
        operator: Name of the operator.
        services: Services by name.
        dependencies: Dependencies that are not services, by name.
        keys: Shared keys of the system's processes.
        host_networks: IPv4 networks in which hosts may have their addresses.
        draining_hosts: Names of agent instances that are to accept no new work.
    """

    format: int
    operator: str
    services: dict[Name, Service]
    keys: KeySet
    host_networks: Annotated[list[str], Meta(min_length=1)]
    dependencies: dict[Name, Dependency] = field(default_factory=dict)
    draining_hosts: list[str] = field(default_factory=list)
