"""Limits the rate of something that is spent, such as octets on a link."""


class TokenBucket:
    """Tokens that refill at a constant rate up to a limit.

    Args:
        rate: Tokens that are added in a second.
        limit: Maximum number of tokens.
        time: Event loop time in seconds.
    """

    __slots__ = ("_limit", "_rate", "_tokens", "_updated")

    def __init__(self, rate: float, limit: float, time: float) -> None:
        self._rate = rate
        self._limit = limit
        self._tokens = limit
        self._updated = time

    def take(self, amount: float, time: float) -> bool:
        """Take tokens and return whether there were enough.

        Args:
            amount: Number of tokens.
            time: Event loop time in seconds.
        """
        elapsed = max(0.0, time - self._updated)
        self._tokens = min(self._limit, self._tokens + elapsed * self._rate)
        self._updated = time
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True
