"""Metrics of the front end."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram


class FrontendMetrics:
    """Metrics of the front end.

    Args:
        registry: Registry of the kernel.
    """

    __slots__ = (
        "connection_failures",
        "connections",
        "datagrams_in",
        "datagrams_out",
        "dropped",
        "first_byte_seconds",
        "handshakes",
        "requests",
        "requests_open",
        "retries",
        "handed_over",
    )

    def __init__(self, registry: CollectorRegistry) -> None:
        prefix = "balsamspool_frontend"
        self.connections = Gauge(
            f"{prefix}_connections", "Open connections", registry=registry
        )
        self.connection_failures = Counter(
            f"{prefix}_connection_failures",
            "Connections ended by an internal error",
            registry=registry,
        )
        self.handshakes = Counter(
            f"{prefix}_handshakes",
            "Handshakes by result",
            ["result"],
            registry=registry,
        )
        self.retries = Counter(
            f"{prefix}_retries", "Retry packets sent", registry=registry
        )
        self.handed_over = Counter(
            f"{prefix}_handed_over_datagrams",
            "Opening packets handed over to a peer",
            registry=registry,
        )
        self.requests = Counter(
            f"{prefix}_requests",
            "Ended requests by status (0: none sent), result code and ending",
            ["status", "code", "ending"],
            registry=registry,
        )
        self.requests_open = Gauge(
            f"{prefix}_open_requests", "Requests in progress", registry=registry
        )
        self.first_byte_seconds = Histogram(
            f"{prefix}_first_byte_seconds",
            "Time from the head of a request to the head of its answer",
            registry=registry,
        )
        datagrams = Counter(
            f"{prefix}_datagrams", "Datagrams", ["direction"], registry=registry
        )
        self.datagrams_in = datagrams.labels("in")
        self.datagrams_out = datagrams.labels("out")
        self.dropped = Counter(
            f"{prefix}_dropped_datagrams",
            "Datagrams dropped",
            ["reason"],
            registry=registry,
        )
