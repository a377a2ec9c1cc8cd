"""Bounded table of recently used values."""

from typing import Generic, TypeVar

Value = TypeVar("Value")


class RecentCache(Generic[Value]):
    """Keeps the most recently used values, in two generations.

    When the new generation is full, it becomes the old one. Values of the previous old
    generation that were not used in the meantime are dropped. This costs less for each
    packet than an `OrderedDict` that moves an entry at each use.

    Args:
        limit: Largest number of values in each generation.
    """

    __slots__ = ("_limit", "_new", "_old")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._new: dict[bytes, Value] = {}
        self._old: dict[bytes, Value] = {}

    def __len__(self) -> int:
        """Return the number of values; a value in both generations counts twice."""
        return len(self._new) + len(self._old)

    def get(self, key: bytes) -> Value | None:
        """Return the value of a key, or None if there is none."""
        found = self._new.get(key)
        if found is None:
            found = self._old.get(key)
            if found is not None:
                self.put(key, found)
        return found

    def put(self, key: bytes, value: Value) -> None:
        """Store the value of a key."""
        if len(self._new) >= self._limit:
            self._old = self._new
            self._new = {}
        self._new[key] = value

    def discard(self, key: bytes) -> None:
        """Remove the value of a key, if there is one."""
        self._new.pop(key, None)
        self._old.pop(key, None)

    def clear(self) -> None:
        """Remove all values."""
        self._new = {}
        self._old = {}
