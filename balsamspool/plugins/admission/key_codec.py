"""Encodes request keys, which are authenticated and name the issuing process."""

import hashlib
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass
from ipaddress import IPv4Address
from struct import Struct

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import INCARNATION_BYTES
from balsamspool.kernel.keyring import KeyRing
from balsamspool.plugins.admission.codes import KEY_INVALID, KEY_OUTCOME_UNKNOWN
from balsamspool.plugins.mesh.message import PeerAddress

PURPOSE = "request-key"
TAG_BYTES = 16

# Fields: key number, address, peer port, incarnation, service, serial, expiry in
# milliseconds.
_FIELDS = Struct(f">B4sH{INCARNATION_BYTES}sHQQ")


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Content of a request key.

    Attributes:
        issuer: Where the mesh socket of the issuing agent listens.
        incarnation: Incarnation of the issuing agent.
        service: Number of the service.
        serial: Number that the issuer uses for one key only.
        expires_ms: Expiry by the clock of the issuer's event loop in milliseconds.
    """

    issuer: PeerAddress
    incarnation: bytes
    service: int
    serial: int
    expires_ms: int


class KeyCodec:
    """Encodes and authenticates request keys.

    Args:
        keyring: Shared keys of the system's processes.
    """

    __slots__ = ("_keyring",)

    def __init__(self, keyring: KeyRing) -> None:
        self._keyring = keyring

    def seal(self, key: RequestKey) -> str:
        """Return the authenticated text of a key."""
        fields = _FIELDS.pack(
            self._keyring.active,
            IPv4Address(key.issuer.address).packed,
            key.issuer.peer_port,
            key.incarnation,
            key.service,
            key.serial,
            key.expires_ms,
        )
        return urlsafe_b64encode(fields + self._tag(fields, b"key")).decode()

    def open(self, text: str) -> RequestKey:
        """Authenticate and decode the text of a key.

        Args:
            text: Value of ``Idempotency-Key``, with or without quotation marks.

        Returns:
            The key.

        Raises:
            ResultError: With code 1610 if the key is malformed or forged, 1614 if its
                secret is no longer in force, so that the key cannot be authenticated.
        """
        fields, tag = self._split(text)
        if not hmac.compare_digest(tag, self._tag(fields, b"key")):
            raise ResultError(KEY_INVALID, "the key is not authentic")
        _, address, port, incarnation, service, serial, expires = _FIELDS.unpack(fields)
        issuer = PeerAddress(str(IPv4Address(address)), port)
        return RequestKey(issuer, incarnation, service, serial, expires)

    def delegation(self, text: str, peer: PeerAddress) -> str:
        """Return the permission for a peer to run a request in place of the issuer.

        Args:
            text: Text of the request's key.
            peer: Where the peer's mesh socket listens.

        Returns:
            Value of a header field that only holders of the shared keys can compute.
        """
        fields, _ = self._split(text)
        return self._tag(fields, f"{peer.address}:{peer.peer_port}".encode()).hex()

    def _split(self, text: str) -> tuple[bytes, bytes]:
        try:
            data = urlsafe_b64decode(text.strip().strip('"').encode("ascii"))
        except (Base64Error, ValueError) as error:
            raise ResultError(KEY_INVALID, "the key is malformed") from error
        if len(data) != _FIELDS.size + TAG_BYTES:
            raise ResultError(KEY_INVALID, f"the key has {len(data)} bytes")
        return data[: _FIELDS.size], data[_FIELDS.size :]

    def _tag(self, fields: bytes, use: bytes) -> bytes:
        number = fields[0]
        if number not in self._keyring.numbers:
            detail = f"the key is protected by secret {number}, which is not in force"
            raise ResultError(KEY_OUTCOME_UNKNOWN, detail)
        key = self._keyring.key(number, PURPOSE)
        data = fields + use
        return hashlib.blake2s(data, key=key, digest_size=TAG_BYTES).digest()
