"""Checks at the agent that a routing token names this process."""

from dataclasses import dataclass
from enum import Enum

from balsamspool.plugins.routing.token import (
    INCARNATION_BYTES,
    RoutingToken,
    TokenCodec,
)


class TokenMismatch(Enum):
    """Which field of a token names another process or service."""

    ADDRESS = "other-address"
    PORT = "other-port"
    SERVICE = "other-service"
    INCARNATION = "other-incarnation"


@dataclass(frozen=True, slots=True)
class OwnToken:
    """The token was issued by this process.

    Attributes:
        token: The decoded token.
    """

    token: RoutingToken


@dataclass(frozen=True, slots=True)
class ForeignToken:
    """The token was issued by another process or for another service.

    Attributes:
        mismatch: The first field that differs.
    """

    mismatch: TokenMismatch


@dataclass(frozen=True, slots=True)
class NoToken:
    """The connection ID is no token under a key in force."""


TokenVerdict = OwnToken | ForeignToken | NoToken


class TokenCheck:
    """Checks tokens against the identity of this process.

    Args:
        codec: Decodes routing tokens.
        address: IPv4 address of this agent.
        data_port: UDP port of this agent.
        incarnation: Incarnation of this process; tokens carry its first bytes.
    """

    __slots__ = ("_address", "_codec", "_data_port", "_incarnation")

    def __init__(
        self, codec: TokenCodec, address: str, data_port: int, incarnation: bytes
    ) -> None:
        self._codec = codec
        self._address = address
        self._data_port = data_port
        self._incarnation = incarnation[:INCARNATION_BYTES]

    def check(self, connection_id: bytes, service: int) -> TokenVerdict:
        """Check a connection ID.

        Args:
            connection_id: Destination connection ID of a packet.
            service: Number of the service at whose address the packet arrived.

        Returns:
            OwnToken, ForeignToken or NoToken.
        """
        token = self._codec.decode(connection_id)
        if token is None:
            return NoToken()
        if token.address != self._address:
            return ForeignToken(TokenMismatch.ADDRESS)
        if token.data_port != self._data_port:
            return ForeignToken(TokenMismatch.PORT)
        if token.service != service:
            return ForeignToken(TokenMismatch.SERVICE)
        if token.incarnation != self._incarnation:
            return ForeignToken(TokenMismatch.INCARNATION)
        return OwnToken(token)
