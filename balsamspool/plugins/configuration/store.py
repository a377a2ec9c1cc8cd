"""The configuration in force. Its revision never goes down."""

from dataclasses import dataclass

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.configuration.checker import check_text
from balsamspool.plugins.configuration.digest import text_digest
from balsamspool.plugins.configuration.text import Text


@dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration that can be in force.

    Attributes:
        revision: Revision given by the platform.
        text: The text as the operator submitted it.
        digest: Digest of the text.
        document: The parsed text.
    """

    revision: int
    text: str
    digest: str
    document: Text


@dataclass(frozen=True, slots=True)
class Accepted:
    """The offered text is now in force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Known:
    """The offered revision is the one in force."""


@dataclass(frozen=True, slots=True)
class Stale:
    """The offered revision is lower than the one in force.

    Attributes:
        revision: The offered revision.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The offered text is not valid.

    Attributes:
        revision: The offered revision.
        detail: What is wrong.
    """

    revision: int
    detail: str


OfferResult = Accepted | Known | Stale | Invalid


class ConfigurationStore:
    """Holds the configuration in force and refuses to go back."""

    __slots__ = ("_current", "_rejected")

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._rejected: Invalid | None = None

    @property
    def current(self) -> Configuration | None:
        """Configuration in force, None before the first one."""
        return self._current

    @property
    def rejected(self) -> Invalid | None:
        """Newest text that was refused, None if a newer one is in force."""
        return self._rejected

    @property
    def revision(self) -> int:
        """Revision in force, 0 before the first one."""
        return self._current.revision if self._current else 0

    @property
    def seen_revision(self) -> int:
        """Highest revision seen, in force or refused."""
        rejected = self._rejected.revision if self._rejected else 0
        return max(self.revision, rejected)

    def offer(self, revision: int, text: str) -> OfferResult:
        """Put a text in force if it is newer and valid.

        Args:
            revision: Revision given by the platform.
            text: Configuration text.

        Returns:
            What was done with the text.
        """
        if revision < self.revision:
            return Stale(revision)
        if revision == self.revision:
            return Known()
        if self._rejected is not None and revision == self._rejected.revision:
            return self._rejected
        try:
            document = check_text(text)
        except ResultError as error:
            invalid = Invalid(revision, error.detail)
            if revision > self.seen_revision:
                self._rejected = invalid
            return invalid
        self._current = Configuration(revision, text, text_digest(text), document)
        if self._rejected is not None and self._rejected.revision < revision:
            self._rejected = None
        return Accepted(self._current)
