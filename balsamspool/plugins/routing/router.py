"""Decides to which host a packet goes."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address, IPv4Network

from balsamspool.kernel.recent import RecentCache
from balsamspool.placement.rendezvous import Candidate, choose
from balsamspool.plugins.routing.flow import Packet
from balsamspool.plugins.routing.token import RoutingToken, TokenCodec

# Largest number of remembered hosts: twice the 4,100 hosts of the growth target.
MAX_KNOWN_HOSTS = 8_192
# Largest number of tokens in each of the two generations of the token cache. Both
# generations together take 6 MB. A token that is not in the cache is decoded again, so
# a larger number of flows only makes the entry process slower.
MAX_KNOWN_TOKENS = 32_768


class DropReason(Enum):
    """Why a packet is dropped."""

    NO_TOKEN = "no-token"
    WRONG_SERVICE = "wrong-service"
    OUTSIDE_NETWORKS = "outside-networks"
    NO_HOST = "no-host"


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass the packet on to an agent.

    Attributes:
        address: IPv4 address of the agent.
        data_port: UDP port of the agent.
        opens: Whether the host was chosen for a new flow, not named by a token.
    """

    address: str
    data_port: int
    opens: bool


@dataclass(frozen=True, slots=True)
class Drop:
    """Drop the packet and count it.

    Attributes:
        reason: Why the packet is dropped.
    """

    reason: DropReason


Decision = Deliver | Drop


@dataclass(frozen=True, slots=True)
class _TokenHost:
    """Service and host that a token names; tokens that name the same share an object.

    Attributes:
        service: Number of the service.
        delivery: The decision for packets to that service.
    """

    service: int
    delivery: Deliver


class Router:
    """Decides which host a packet belongs to.

    Args:
        codec: Decodes routing tokens.
    """

    __slots__ = ("_codec", "_hosts", "_keys_version", "_networks", "_tokens")

    def __init__(self, codec: TokenCodec) -> None:
        self._codec = codec
        self._networks: list[tuple[int, int]] = []
        self._hosts: dict[tuple[str, int, int], _TokenHost] = {}
        self._tokens: RecentCache[_TokenHost] = RecentCache(MAX_KNOWN_TOKENS)
        self._keys_version = codec.keys_version

    def set_networks(self, networks: Sequence[str]) -> None:
        """Set the networks in which hosts may have their addresses."""
        parsed = [IPv4Network(network) for network in networks]
        self._networks = [(int(n.network_address), int(n.netmask)) for n in parsed]
        self._hosts.clear()
        self._tokens.clear()

    def route(
        self,
        packet: Packet,
        candidates: Sequence[Candidate],
        avoided: Collection[tuple[str, int]] = (),
    ) -> Decision:
        """Decide where a packet goes.

        Args:
            packet: Facts about the packet.
            candidates: Hosts of the packet's service that accept new flows.
            avoided: Addresses of hosts that are chosen only if there is no other host.

        Returns:
            Deliver or Drop.
        """
        decision = self.route_token(packet.flow.service, packet.connection_id)
        if decision is not None:
            return decision
        if not packet.opens:
            return Drop(DropReason.NO_TOKEN)
        key = packet.flow.encode()
        chosen = choose(key, candidates)
        if chosen is None:
            return Drop(DropReason.NO_HOST)
        if avoided and (chosen.address, chosen.data_port) in avoided:
            others = [c for c in candidates if (c.address, c.data_port) not in avoided]
            chosen = choose(key, others) or chosen
        return Deliver(chosen.address, chosen.data_port, opens=True)

    def route_token(self, service: int, connection_id: bytes) -> Decision | None:
        """Decide on a packet by its token alone.

        Args:
            service: Number of the service at whose address the packet arrived.
            connection_id: Bytes that may be a routing token.

        Returns:
            Deliver or Drop, or None if the connection ID is no token.
        """
        if self._keys_version != self._codec.keys_version:
            # The cache may hold tokens under a key that was removed. Such tokens are no
            # longer valid.
            self._tokens.clear()
            self._keys_version = self._codec.keys_version
        host = self._tokens.get(connection_id)
        if host is None:
            token = self._codec.decode(connection_id)
            if token is None:
                return None
            host = self._host(token)
            if host is None:
                return Drop(DropReason.OUTSIDE_NETWORKS)
            self._tokens.put(connection_id, host)
        if host.service != service:
            return Drop(DropReason.WRONG_SERVICE)
        return host.delivery

    def _host(self, token: RoutingToken) -> _TokenHost | None:
        key = (token.address, token.data_port, token.service)
        host = self._hosts.get(key)
        if host is None and self._is_host(token.address):
            if len(self._hosts) >= MAX_KNOWN_HOSTS:
                self._hosts.clear()
            delivery = Deliver(token.address, token.data_port, opens=False)
            host = self._hosts[key] = _TokenHost(token.service, delivery)
        return host

    def _is_host(self, address: str) -> bool:
        number = int(IPv4Address(address))
        return any(number & mask == network for network, mask in self._networks)
