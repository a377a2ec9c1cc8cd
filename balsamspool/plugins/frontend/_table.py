"""Table of the open connections by connection ID."""

from typing import TYPE_CHECKING

from balsamspool.kernel.identity import Identity
from balsamspool.plugins.routing import RoutingToken
from balsamspool.plugins.routing.token import (
    INCARNATION_BYTES,
    MAX_SERIAL,
    TokenCodec,
)

if TYPE_CHECKING:
    from balsamspool.plugins.frontend.connection import Connection

Address = tuple[str, int]


class ConnectionTable:
    """Finds the connection of a datagram and issues connection IDs.

    The caller chooses the ID in an opening packet at random. Two callers may choose the
    same ID, so the table looks up these IDs together with the caller's address.

    Args:
        identity: Identity of this process.
        codec: Encodes routing tokens.
    """

    __slots__ = (
        "_by_id",
        "_by_opening",
        "_codec",
        "_identity",
        "_ids_by_connection",
        "_serial",
    )

    def __init__(self, identity: Identity, codec: TokenCodec) -> None:
        self._identity = identity
        self._codec = codec
        self._serial = 0
        self._by_id: dict[bytes, Connection] = {}
        self._by_opening: dict[tuple[bytes, Address], Connection] = {}
        self._ids_by_connection: dict[Connection, set[bytes]] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._ids_by_connection)

    @property
    def connections(self) -> list["Connection"]:
        """All connections."""
        return list(self._ids_by_connection)

    @property
    def ids(self) -> list[bytes]:
        """All connection IDs that are in use."""
        return list(self._by_id)

    def find(self, connection_id: bytes, caller: Address) -> "Connection | None":
        """Return the connection of a datagram, or None."""
        found = self._by_id.get(connection_id)
        if found is None:
            found = self._by_opening.get((connection_id, caller))
        return found

    def new_id(self, service: int) -> bytes:
        """Return a connection ID that is not in use."""
        identity = self._identity
        while True:
            self._serial = (self._serial + 1) & MAX_SERIAL
            token = RoutingToken(
                address=identity.address,
                data_port=identity.data_port,
                service=service,
                incarnation=identity.incarnation[:INCARNATION_BYTES],
                serial=self._serial,
            )
            connection_id = self._codec.encode(token)
            if connection_id not in self._by_id:
                return connection_id

    def add(self, connection: "Connection", opening_id: bytes, caller: Address) -> None:
        """Add a connection with the ID and the sender of its opening packet."""
        self._by_opening[opening_id, caller] = connection
        self._ids_by_connection[connection] = set()

    def add_id(self, connection: "Connection", connection_id: bytes) -> None:
        """Add an ID that was issued to a connection."""
        self._by_id[connection_id] = connection
        self._ids_by_connection[connection].add(connection_id)

    def retire(self, connection: "Connection", connection_id: bytes) -> None:
        """Remove an ID that the caller has retired."""
        self._by_id.pop(connection_id, None)
        self._ids_by_connection[connection].discard(connection_id)

    def remove(
        self, connection: "Connection", opening_id: bytes, caller: Address
    ) -> None:
        """Remove a connection with all its IDs."""
        self._by_opening.pop((opening_id, caller), None)
        for connection_id in self._ids_by_connection.pop(connection, ()):
            self._by_id.pop(connection_id, None)
