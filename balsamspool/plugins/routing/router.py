"""The routing decision."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address, IPv4Network

from balsamspool.plugins.routing.flow import Packet
from balsamspool.plugins.routing.rendezvous import Candidate, choose
from balsamspool.plugins.routing.token import TokenCodec

# Twice the hosts of the growth target (4,100).
MAX_KNOWN_HOSTS = 8_192


class DropReason(Enum):
    """Why a packet is dropped."""

    NO_TOKEN = "no-token"
    WRONG_SERVICE = "wrong-service"
    OUTSIDE_NETWORKS = "outside-networks"
    NO_HOST = "no-host"


@dataclass(slots=True)
class Deliver:
    """Pass the packet on to an agent.

    Attributes:
        address: IPv4 address of the agent.
        data_port: UDP port of the agent.
        opens: Whether the host was chosen anew, not named by a token.
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


class Router:
    """Decides which host a packet belongs to.

    Args:
        codec: Decodes routing tokens.
    """

    __slots__ = ("_codec", "_known_hosts", "_networks")

    def __init__(self, codec: TokenCodec) -> None:
        self._codec = codec
        self._networks: list[tuple[int, int]] = []
        self._known_hosts: dict[str, bool] = {}

    def set_networks(self, networks: Sequence[str]) -> None:
        """Set the networks in which hosts may have their addresses."""
        parsed = [IPv4Network(network) for network in networks]
        self._networks = [(int(n.network_address), int(n.netmask)) for n in parsed]
        self._known_hosts.clear()

    def route(
        self,
        packet: Packet,
        candidates: Sequence[Candidate],
        avoided: Collection[tuple[str, int]] = (),
    ) -> Decision:
        """Decide where a packet goes.

        Args:
            packet: Facts about the packet.
            candidates: Hosts of the packet's service that take new flows.
            avoided: Addresses of hosts that get new flows only if no other is left.

        Returns:
            Deliver or Drop.
        """
        token = self._codec.decode(packet.connection_id)
        if token is not None:
            if token.service != packet.flow.service:
                return Drop(DropReason.WRONG_SERVICE)
            if not self._is_host(token.address):
                return Drop(DropReason.OUTSIDE_NETWORKS)
            return Deliver(token.address, token.data_port, opens=False)
        if not packet.opens:
            return Drop(DropReason.NO_TOKEN)
        key = packet.flow.encode()
        chosen = choose(key, candidates)
        if chosen is None:
            return Drop(DropReason.NO_HOST)
        if avoided and (chosen.address, chosen.data_port) in avoided:
            left = [c for c in candidates if (c.address, c.data_port) not in avoided]
            chosen = choose(key, left) or chosen
        return Deliver(chosen.address, chosen.data_port, opens=True)

    def _is_host(self, address: str) -> bool:
        known = self._known_hosts.get(address)
        if known is not None:
            return known
        number = int(IPv4Address(address))
        found = any(number & mask == network for network, mask in self._networks)
        if len(self._known_hosts) >= MAX_KNOWN_HOSTS:
            self._known_hosts.clear()
        self._known_hosts[address] = found
        return found
