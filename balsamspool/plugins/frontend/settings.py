"""Settings of the HTTP/3 front end."""

from typing import Annotated

from msgspec import Meta

from balsamspool.kernel.settings import Section

Seconds = Annotated[float, Meta(gt=0)]


class FrontendSettings(Section, frozen=True):
    """Settings of the front end.

    Attributes:
        certificate: Path of the certificate chain in PEM form.
        private_key: Path of the private key in PEM form.
        idle_seconds: Time in seconds without a packet after which a connection closes.
        handshake_seconds: Time within which a handshake must complete in seconds.
        max_handshakes: Number of handshakes in progress from which opening packets are
            dropped.
        retry_handshakes: Number of handshakes in progress from which callers must
            first prove their address with a Retry token.
    """

    certificate: str
    private_key: str
    idle_seconds: Seconds = 60.0
    handshake_seconds: Seconds = 5.0
    max_handshakes: Annotated[int, Meta(ge=1)] = 256
    retry_handshakes: Annotated[int, Meta(ge=0)] = 64
