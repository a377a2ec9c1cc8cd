"""Decides whether this agent, a peer or no agent accepts a connection."""

from dataclasses import dataclass

from aioquic.quic.packet import QuicHeader, QuicPacketType

from balsamspool.kernel.clock import now
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.placement.rendezvous import Candidate
from balsamspool.plugins.admission import AdmissionPlugin
from balsamspool.plugins.configuration import ConfigurationPlugin
from balsamspool.plugins.forwarding.envelope import Forward
from balsamspool.plugins.frontend._retry import RetryTokens
from balsamspool.plugins.frontend.opening import (
    AcceptOpening,
    HandOverOpening,
    OpeningDecision,
    RefusalReason,
    RefuseOpening,
    ValidateAddress,
)
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.relay import RelayPlugin
from balsamspool.plugins.routing import FlowKey
from balsamspool.plugins.routing.handover import (
    Accept,
    HandOver,
    Handover,
    HandoverDecision,
    OwnHost,
    OwnState,
    Peer,
    Refuse,
)
from balsamspool.plugins.routing.token import TokenCodec
from balsamspool.plugins.serving import ServingPlugin
from balsamspool.requests.relay import PeerLoad

# A caller pads every datagram with an opening packet to this size (RFC 9000, 14.1).
MIN_OPENING_BYTES = 1200
# Load that is assumed for a peer that has not reported its load.
MAX_LOAD = 255
# Age from which a load report counts as old. At this age, two reports in a row are
# missing.
MAX_REPORT_AGE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class HandshakeLimits:
    """Limits of the handshakes in progress.

    Attributes:
        max_handshakes: Number of handshakes from which opening packets are dropped.
        retry_handshakes: Number of handshakes from which callers must first prove
            their address with a Retry token.
    """

    max_handshakes: int
    retry_handshakes: int


class OpeningPolicy:
    """Decides on packets that belong to no open connection.

    Args:
        kernel: Kernel that runs the front end.
        codec: Codec of routing tokens.
        retry: Creates and verifies the tokens that prove a caller's address.
        limits: Limits of the handshakes in progress.
    """

    __slots__ = (
        "_admission",
        "_codec",
        "_configuration",
        "_handover",
        "_instance",
        "_limits",
        "_membership",
        "_relay",
        "_retry",
        "_serving",
    )

    def __init__(
        self,
        kernel: Kernel,
        codec: TokenCodec,
        retry: RetryTokens,
        limits: HandshakeLimits,
    ) -> None:
        self._instance = kernel.identity.instance
        self._admission = kernel.plugin(AdmissionPlugin)
        self._configuration = kernel.plugin(ConfigurationPlugin)
        self._membership = kernel.plugin(MembershipPlugin)
        self._relay = kernel.plugin(RelayPlugin)
        self._serving = kernel.plugin(ServingPlugin)
        self._codec = codec
        self._retry = retry
        self._limits = limits
        self._handover = Handover()

    def decide(
        self, forward: Forward, header: QuicHeader, connections: int, handshakes: int
    ) -> OpeningDecision:
        """Decide what to do with a packet that belongs to no open connection.

        Args:
            forward: The forwarded packet.
            header: QUIC header of the packet.
            connections: Number of open connections.
            handshakes: Number of handshakes in progress.

        Returns:
            The decision.
        """
        if header.packet_type is not QuicPacketType.INITIAL:
            return RefuseOpening(RefusalReason.UNKNOWN_CONNECTION)
        if len(forward.payload) < MIN_OPENING_BYTES:
            return RefuseOpening(RefusalReason.TOO_SMALL)
        opening_id = header.destination_cid
        original_id = self._verified_original_id(forward, header)
        if original_id is None and self._codec.decode(opening_id) is not None:
            return RefuseOpening(RefusalReason.UNKNOWN_CONNECTION)
        if not self._configuration.fresh:
            # The packet can be dropped because the caller retransmits it. Until then,
            # this agent queries its peers for the current configuration.
            return RefuseOpening(RefusalReason.OLD_VIEW)
        state = self._own_state(connections)
        if original_id is not None and state is not OwnState.ACCEPTING:
            # The packet is not handed over: its connection ID names this agent, so a
            # peer would not accept it.
            return RefuseOpening(RefusalReason(state.value))
        if original_id is None:
            match self._decide_handover(forward, state):
                case HandOver(peer):
                    return HandOverOpening((peer.address, peer.data_port))
                case Refuse():
                    return RefuseOpening(RefusalReason(state.value))
                case Accept():
                    pass
        if handshakes >= self._limits.max_handshakes:
            return RefuseOpening(RefusalReason.HANDSHAKE_LIMIT)
        if original_id is not None:
            return AcceptOpening(original_id, retry_id=opening_id)
        if handshakes >= self._limits.retry_handshakes:
            return ValidateAddress()
        return AcceptOpening(opening_id, retry_id=None)

    def _own_state(self, connections: int) -> OwnState:
        service = self._configuration.service(self._serving.service_name)
        if not self._serving.accepting:
            return OwnState.LEAVING
        if service is None or connections >= service.limits.connections_per_host:
            return OwnState.FULL
        return OwnState.ACCEPTING

    def _decide_handover(self, forward: Forward, state: OwnState) -> HandoverDecision:
        key = FlowKey(forward.service, forward.caller_address, forward.caller_port)
        own = OwnHost(self._instance, state, self._admission.load)
        return self._handover.decide(
            key.encode(), own, self._peers(), forward.hops, now()
        )

    def _peers(self) -> list[Peer]:
        reports = {peer.instance: peer for peer in self._relay.peers()}
        peers = []
        for host in self._membership.hosts(self._serving.service_name):
            report = reports.get(host.instance)
            if report is not None and not report.accepting:
                continue
            load = MAX_LOAD if report is None else report.load
            candidate = Candidate(host.instance, host.address, host.data_port)
            peers.append(Peer(candidate, load, _has_recent_report(report)))
        return peers

    def _verified_original_id(
        self, forward: Forward, header: QuicHeader
    ) -> bytes | None:
        if not header.token:
            return None
        caller = (forward.caller_address, forward.caller_port)
        return self._retry.verify(caller, header.token, header.destination_cid, now())


def _has_recent_report(report: PeerLoad | None) -> bool:
    """Return whether the last load report of a peer is recent."""
    if report is None or report.reported_at is None:
        return False
    return now() - report.reported_at < MAX_REPORT_AGE_SECONDS
