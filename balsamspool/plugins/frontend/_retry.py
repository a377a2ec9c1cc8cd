"""Tokens of stateless Retry packets, which prove the caller's address."""

import os
import struct
from socket import inet_aton

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.keyring import KeyRing

Address = tuple[str, int]

# Lifetime of a token. It can be short because a caller returns the token immediately
# (RFC 9000, 8.1.4).
LIFETIME_SECONDS = 30.0

_PURPOSE = "retry-token"
_KEY_BYTES = 16
_NONCE_BYTES = 12
# Content of a token: address and port of the caller, and the event loop time in seconds
# at which the token was created.
_ADDRESS_AND_TIME = struct.Struct("!4sHd")


class RetryTokens:
    """Creates and verifies Retry tokens with a key of the key ring.

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
        key_number = self._keyring.active
        address_and_time = _ADDRESS_AND_TIME.pack(inet_aton(caller[0]), caller[1], time)
        nonce = os.urandom(_NONCE_BYTES)
        encrypted = self._cipher(key_number).encrypt(
            nonce, address_and_time + original_id, retry_id
        )
        return bytes([key_number]) + nonce + encrypted

    def verify(
        self, caller: Address, token: bytes, retry_id: bytes, time: float
    ) -> bytes | None:
        """Verify a token.

        Args:
            caller: Address of the caller.
            token: Token in an opening packet.
            retry_id: Destination connection ID of the packet.
            time: Event loop time in seconds.

        Returns:
            The original destination connection ID, or None if the token is not valid.
        """
        if len(token) <= 1 + _NONCE_BYTES:
            return None
        try:
            cipher = self._cipher(token[0])
            nonce, encrypted = token[1 : 1 + _NONCE_BYTES], token[1 + _NONCE_BYTES :]
            decrypted = cipher.decrypt(nonce, encrypted, retry_id)
        except (InvalidTag, ResultError):
            return None
        address, port, created = _ADDRESS_AND_TIME.unpack_from(decrypted)
        if (address, port) != (inet_aton(caller[0]), caller[1]):
            return None
        if not 0 <= time - created <= LIFETIME_SECONDS:
            return None
        return decrypted[_ADDRESS_AND_TIME.size :]

    def _cipher(self, key_number: int) -> AESGCM:
        return AESGCM(self._keyring.key(key_number, _PURPOSE, _KEY_BYTES))
