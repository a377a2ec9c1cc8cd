"""Positions in the history of the published catalog."""

# Bits of the number within an era. The era takes the 16 bits above them.
NUMBER_BITS = 48
MAX_NUMBER = (1 << NUMBER_BITS) - 1
MAX_ERA = 0xFFFF
MAX_REVISION = (MAX_ERA << NUMBER_BITS) | MAX_NUMBER


class Revision(int):
    """A position in the history of the catalog, ordered by era and then by number.

    The publishing service numbers its changes. A service that is restored from an older
    copy uses numbers again, and begins a new era. Therefore a number identifies a
    change only within its era. A service without eras stays in era 0.
    """

    __slots__ = ()

    @classmethod
    def of(cls, era: int, number: int) -> "Revision":
        """Return the position of a change.

        Args:
            era: Era of the publishing service.
            number: Number of the change in that era.

        Raises:
            ValueError: If the era or the number is out of range.
        """
        if not 0 <= era <= MAX_ERA:
            raise ValueError(f"era {era} is out of range")
        if not 0 <= number <= MAX_NUMBER:
            raise ValueError(f"revision {number} is out of range")
        return cls((era << NUMBER_BITS) | number)

    @property
    def era(self) -> int:
        """Era of the publishing service."""
        return int(self) >> NUMBER_BITS

    @property
    def number(self) -> int:
        """Number of the change in its era."""
        return int(self) & MAX_NUMBER

    def __str__(self) -> str:
        return f"{self.era}:{self.number}" if self.era else int.__repr__(self)

    __repr__ = __str__


# Position before the first change.
NO_REVISION = Revision(0)


def encode_revision(value: object) -> int:
    """Return the integer that stands for a position in messages.

    Raises:
        NotImplementedError: If the value is not a position.
    """
    if isinstance(value, Revision):
        return int(value)
    raise NotImplementedError(f"{type(value).__name__} cannot be encoded")


def decode_revision(kind: type, value: object) -> Revision:
    """Return the position that an integer in a message stands for.

    Raises:
        ValueError: If the value is not a position.
    """
    if kind is Revision and isinstance(value, int) and 0 <= value <= MAX_REVISION:
        return Revision(value)
    raise ValueError("not a revision")
