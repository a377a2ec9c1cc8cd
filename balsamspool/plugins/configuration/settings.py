"""Settings of the configuration plug-in."""

from msgspec import field

from balsamspool.kernel.settings import Section
from balsamspool.plugins.configuration.checker import split_address


class ConfigurationSettings(Section, frozen=True):
    """Settings of the configuration plug-in.

    Attributes:
        peers: Mesh addresses as ``IPv4:port`` of the processes from which a starting
            process requests text and instance list before it reads the platform.
    """

    peers: list[str] = field(default_factory=list)

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        for index, peer in enumerate(self.peers):
            try:
                split_address(peer)
            except ValueError as error:
                return f"peers[{index}]", f"{peer!r}: {error}"
        return None
