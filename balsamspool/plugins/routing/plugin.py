"""Plug-in that offers the routing decision over the current view."""

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.configuration import Configuration, ConfigurationPlugin
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.routing.flow import Packet
from balsamspool.plugins.routing.rendezvous import Candidate
from balsamspool.plugins.routing.router import Decision, Router
from balsamspool.plugins.routing.token import TokenCodec


@register(
    "routing",
    roles=[Role.ENTRY, Role.AGENT],
    requires=["configuration", "membership"],
)
class RoutingPlugin(Plugin):
    """Routes packets over the hosts that membership reports.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._codec = TokenCodec(kernel.keyring)
        self._router = Router(self._codec)
        self._service_names: dict[int, str] = {}

    @property
    def codec(self) -> TokenCodec:
        """Codec of routing tokens."""
        return self._codec

    async def start(self) -> None:
        """Follow the configuration."""
        self._kernel.plugin(ConfigurationPlugin).subscribe(self._on_configuration)

    def route(self, packet: Packet) -> Decision:
        """Decide where a packet goes.

        Args:
            packet: Facts about the packet.

        Returns:
            Deliver or Drop.
        """
        return self._router.route(packet, self._candidates(packet.flow.service))

    def _candidates(self, service: int) -> list[Candidate]:
        name = self._service_names.get(service)
        if name is None:
            return []
        membership = self._kernel.plugin(MembershipPlugin)
        return [
            Candidate(host.instance, host.address, host.data_port)
            for host in membership.hosts(name)
        ]

    def _on_configuration(self, configuration: Configuration) -> None:
        document = configuration.document
        self._router.set_networks(document.host_networks)
        self._service_names = {
            service.number: name for name, service in document.services.items()
        }
