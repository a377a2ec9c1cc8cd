"""Messages that distribute the instance list while the platform is down."""

from dataclasses import dataclass

from balsamspool.plugins.mesh import mesh_message


@mesh_message(13)
@dataclass(frozen=True, slots=True)
class InstanceListOffer:
    """Announces the instance list of the sender.

    Attributes:
        revision: Revision of the list, 0 for none.
        digest: Digest of the list, empty for none.
    """

    revision: int
    digest: str


@mesh_message(14)
@dataclass(frozen=True, slots=True)
class InstanceListRequest:
    """Requests the instance list of the receiver."""


@mesh_message(15)
@dataclass(frozen=True, slots=True)
class InstanceListReply:
    """The instance list.

    Attributes:
        revision: Revision of the list.
        text: The list as the platform published it.
    """

    revision: int
    text: str
