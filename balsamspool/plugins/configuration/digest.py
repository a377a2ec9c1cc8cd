"""Digest of a configuration text."""

import hashlib


def text_digest(text: str) -> str:
    """Return the digest by which operators identify a text.

    Args:
        text: Configuration text.

    Returns:
        16 hexadecimal digits.
    """
    return hashlib.sha256(text.encode()).hexdigest()[:16]
