"""Bounded table of recently used values."""

from typing import Generic, TypeVar

Value = TypeVar("Value")


class Recent(Generic[Value]):
    """Keeps the values used last, in two generations.

    When the new generation is full, it becomes the old one, and the values of the old
    one that were not used in the meantime are dropped. This costs less for each packet
    than an `OrderedDict` that moves an entry at each use.

    Args:
        limit: Largest number of values in each generation.
    """

    __slots__ = ("_limit", "_new", "_old")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._new: dict[bytes, Value] = {}
        self._old: dict[bytes, Value] = {}

    def __len__(self) -> int:
        """Return the number of values, where one in both generations counts twice."""
        return len(self._new) + len(self._old)

    def get(self, key: bytes) -> Value | None:
        """Return the value of a key, or None if it is not kept."""
        found = self._new.get(key)
        if found is None:
            found = self._old.get(key)
            if found is not None:
                self.put(key, found)
        return found

    def put(self, key: bytes, value: Value) -> None:
        """Keep a value."""
        if len(self._new) >= self._limit:
            self._old = self._new
            self._new = {}
        self._new[key] = value

    def discard(self, key: bytes) -> None:
        """Drop a value if it is kept."""
        self._new.pop(key, None)
        self._old.pop(key, None)

    def clear(self) -> None:
        """Drop all values."""
        self._new = {}
        self._old = {}
