"""TLS settings of the agent."""

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from balsamspool.plugins.routing.token import TOKEN_BYTES

# Feeds may be silent for long; the agent sends a ping well before this limit.
IDLE_SECONDS = 60.0


def quic_configuration(certificate: str, private_key: str) -> QuicConfiguration:
    """Return the QUIC configuration of the agent.

    No session tickets are issued, so that no caller can send early data, which an
    attacker could replay.

    Args:
        certificate: Path of the certificate chain in PEM form.
        private_key: Path of the private key in PEM form.

    Returns:
        The configuration.

    Raises:
        OSError: If a file cannot be read.
        ValueError: If a file holds no certificate or key.
    """
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=TOKEN_BYTES,
        idle_timeout=IDLE_SECONDS,
        max_datagram_size=1200,
    )
    configuration.load_cert_chain(certificate, private_key)
    return configuration
