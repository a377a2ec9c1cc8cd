"""Messages that distribute the configuration text."""

from dataclasses import dataclass

from balsamspool.plugins.mesh import mesh_message


@mesh_message(10)
@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Announces the text in force of the sender.

    Attributes:
        revision: Revision of the text in force, 0 for none.
        digest: Digest of the text, empty for none.
    """

    revision: int
    digest: str


@mesh_message(11)
@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Requests the text in force of the receiver."""


@mesh_message(12)
@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """The text in force.

    Attributes:
        revision: Revision of the text.
        text: The text as the operator submitted it.
    """

    revision: int
    text: str
