"""TLS settings of the agent."""

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from balsamspool.plugins.routing.token import TOKEN_BYTES

# Largest numbers of unread bytes that the agent holds for one request and for one
# connection. Queued uploads use up the connection's credit, but the header fields of
# other requests need credit, too. The limit of a connection therefore covers 16 queued
# uploads.
MAX_STREAM_DATA = 32 * 1024
MAX_DATA = 16 * MAX_STREAM_DATA


def quic_configuration(
    certificate: str, private_key: str, idle_seconds: float
) -> QuicConfiguration:
    """Return the QUIC configuration of the agent.

    No session tickets are issued, so no caller can send early data. An attacker could
    replay early data.

    Args:
        certificate: Path of the certificate chain in PEM form.
        private_key: Path of the private key in PEM form.
        idle_seconds: Time in seconds without a packet after which a connection closes.

    Returns:
        The configuration.

    Raises:
        OSError: If a file cannot be read.
        ValueError: If a file contains no certificate or key.
    """
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=TOKEN_BYTES,
        idle_timeout=idle_seconds,
        max_data=MAX_DATA,
        max_stream_data=MAX_STREAM_DATA,
        max_datagram_size=1200,
    )
    configuration.load_cert_chain(certificate, private_key)
    return configuration
