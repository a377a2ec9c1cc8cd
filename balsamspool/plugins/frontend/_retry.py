"""Tokens of stateless Retry packets, which prove the caller's address."""

import os
import struct
from socket import inet_aton

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.keyring import KeyRing

Address = tuple[str, int]

# A caller returns the token at once (RFC 9000, 8.1.4).
LIFETIME_SECONDS = 30.0

_PURPOSE = "retry-token"
_KEY_BYTES = 16
_NONCE_BYTES = 12
_PROOF = struct.Struct("!4sHd")


class RetryTokens:
    """Creates and checks Retry tokens with a key of the key ring.

    A token that was created before a restart or a change of the active key stays valid,
    as long as its key is in force.

    Args:
        keyring: Shared keys.
    """

    __slots__ = ("_keyring",)

    def __init__(self, keyring: KeyRing) -> None:
        self._keyring = keyring

    def create(
        self, caller: Address, original_id: bytes, retry_id: bytes, time: float
    ) -> bytes:
        """Return a token.

        Args:
            caller: Address of the caller.
            original_id: Destination connection ID of the caller's first packet.
            retry_id: Source connection ID of the Retry.
            time: Event loop time in seconds.

        Returns:
            The token.
        """
        number = self._keyring.active
        proof = _PROOF.pack(inet_aton(caller[0]), caller[1], time)
        nonce = os.urandom(_NONCE_BYTES)
        sealed = self._cipher(number).encrypt(nonce, proof + original_id, retry_id)
        return bytes([number]) + nonce + sealed

    def open(
        self, caller: Address, token: bytes, retry_id: bytes, time: float
    ) -> bytes | None:
        """Check a token.

        Args:
            caller: Address of the caller.
            token: Token of an opening packet.
            retry_id: Destination connection ID of that packet.
            time: Event loop time in seconds.

        Returns:
            The original destination connection ID, or None if the token is not valid.
        """
        if len(token) <= 1 + _NONCE_BYTES:
            return None
        try:
            cipher = self._cipher(token[0])
            nonce, sealed = token[1 : 1 + _NONCE_BYTES], token[1 + _NONCE_BYTES :]
            opened = cipher.decrypt(nonce, sealed, retry_id)
        except (InvalidTag, ResultError):
            return None
        address, port, created = _PROOF.unpack_from(opened)
        if (address, port) != (inet_aton(caller[0]), caller[1]):
            return None
        if not 0 <= time - created <= LIFETIME_SECONDS:
            return None
        return opened[_PROOF.size :]

    def _cipher(self, number: int) -> AESGCM:
        return AESGCM(self._keyring.key(number, _PURPOSE, _KEY_BYTES))
