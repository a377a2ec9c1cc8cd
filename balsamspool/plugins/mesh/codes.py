"""Result codes of the mesh plug-in."""

from balsamspool.kernel.errors import result_code

PEER_PORT_UNAVAILABLE = result_code(
    1801, "peer-port-unavailable", "The port for messages from peers cannot be opened."
)
