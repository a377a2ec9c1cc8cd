"""Shared keys that authenticate the traffic between the system's own processes."""

from msgspec import Struct

from balsamspool.kernel.errors import KEY_UNKNOWN, ResultError

# Largest key number. Connection IDs encode the key number in three bits, and QUIC-LB
# reserves the value 7.
MAX_KEY_NUMBER = 6
SECRET_BYTES = 32

_KEY_NUMBERS = frozenset(str(number) for number in range(MAX_KEY_NUMBER + 1))


class KeySet(Struct, frozen=True, forbid_unknown_fields=True):
    """Shared secrets as written in a configuration text or in settings.

    Attributes:
        active: Number of the secret that protects what this process sends.
        secrets: Secrets in hexadecimal digits by number.
    """

    active: int
    secrets: dict[str, str]


# Keys of a process that does not authenticate its messages.
NO_KEYS = KeySet(active=0, secrets={})


class KeyRing:
    """Derives one key for each purpose from each shared secret in force.

    Args:
        keys: The secrets that are in force at the start.
    """

    __slots__ = ("_active", "_derived", "_initial", "_secrets", "_version")

    def __init__(self, keys: KeySet) -> None:
        self._initial = _read_secrets(keys)
        self._derived: dict[tuple[int, str], bytes] = {}
        self._version = 0
        self.replace(keys)

    @property
    def active(self) -> int:
        """Number of the key that protects what this process sends."""
        return self._active

    @property
    def version(self) -> int:
        """Number that increases each time the keys are replaced."""
        return self._version

    @property
    def numbers(self) -> frozenset[int]:
        """Numbers of all keys in force."""
        return frozenset(self._secrets)

    def replace(self, keys: KeySet) -> None:
        """Replace the secrets in force.

        Args:
            keys: The secrets, as checked by the configuration or the settings.
        """
        self._active = keys.active
        self._secrets = _read_secrets(keys)
        self._derived.clear()
        self._version += 1

    def key(self, number: int, purpose: str, length: int = 32) -> bytes:
        """Return the key for a purpose.

        Args:
            number: Number of the shared secret.
            purpose: Name of the use, such as ``token``.
            length: Length of the key in bytes.

        Returns:
            The derived key.

        Raises:
            ResultError: With code 1004 if the number is not in force.
        """
        key = self._derived.get((number, purpose))
        if key is None:
            secret = self._secrets.get(number)
            if secret is None:
                raise ResultError(KEY_UNKNOWN, f"key number {number} is not in force")
            key = _derive(secret, purpose, length)
            self._derived[number, purpose] = key
        return key

    def all_keys(self, purpose: str, length: int = 32) -> list[tuple[int, bytes]]:
        """Return the keys for a purpose from each secret, current or initial.

        Only the exchange of the configuration uses these keys. Without them, a process
        that was started with older keys could not receive the text that contains the
        newer keys.

        Args:
            purpose: Name of the use.
            length: Length of the keys in bytes.

        Returns:
            Pairs of key number and key. A number appears twice if its secret in force
            differs from its initial secret.
        """
        secrets = {*self._secrets.items(), *self._initial.items()}
        return [(n, _derive(secret, purpose, length)) for n, secret in sorted(secrets)]


def _read_secrets(keys: KeySet) -> dict[int, bytes]:
    return {int(n): bytes.fromhex(secret) for n, secret in keys.secrets.items()}


def _derive(secret: bytes, purpose: str, length: int) -> bytes:
    # Imported here so that a process without keys starts faster.
    from cryptography.hazmat.primitives.hashes import SHA256
    from cryptography.hazmat.primitives.kdf.hkdf import HKDF

    info = f"balsamspool {purpose}".encode()
    return HKDF(SHA256(), length, salt=None, info=info).derive(secret)


def keys_problem(keys: KeySet) -> tuple[str, str] | None:
    """Check a key set.

    Args:
        keys: The key set to check.

    Returns:
        The field and what is wrong with it, or None if the set is valid.
    """
    for number, secret in keys.secrets.items():
        # The number is compared as a string, because "01" would be a second name of 1
        # and int() fails for some Unicode digits.
        if number not in _KEY_NUMBERS:
            return (
                f"secrets.{number}",
                f"key number is not in the range 0 to {MAX_KEY_NUMBER}",
            )
        try:
            size = len(bytes.fromhex(secret))
        except ValueError:
            size = 0
        if size != SECRET_BYTES:
            return f"secrets.{number}", f"secret is not {SECRET_BYTES} bytes in hex"
    if str(keys.active) not in keys.secrets:
        return "active", f"no secret has the number {keys.active}"
    return None
