"""Decisions of admission about a request."""

from dataclasses import dataclass

from balsamspool.kernel.errors import ResultCode
from balsamspool.plugins.admission.slots import Slot
from balsamspool.requests.relay import PeerLoad


@dataclass(frozen=True, slots=True)
class Admit:
    """The request may be dispatched while it holds the slot.

    Attributes:
        slot: The slot, to be released once.
    """

    slot: Slot


@dataclass(frozen=True, slots=True)
class Relay:
    """The request is to be relayed to a peer.

    Attributes:
        peer: The peer that was chosen.
    """

    peer: PeerLoad


@dataclass(frozen=True, slots=True)
class Shed:
    """The request is not run because of load.

    Attributes:
        retry_after: Seconds after which a slot is expected to be free.
        reason: Why it was shed.
    """

    retry_after: float
    reason: ResultCode


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not run, for a reason other than load.

    Attributes:
        code: Why it was refused.
    """

    code: ResultCode


Decision = Admit | Relay | Shed | Refuse
