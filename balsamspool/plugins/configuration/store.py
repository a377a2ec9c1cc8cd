"""The configuration in force, whose revision never decreases."""

from dataclasses import dataclass

import msgspec

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.configuration.checker import (
    Problem,
    check_text,
    located_error,
)
from balsamspool.plugins.configuration.codes import NUMBER_REUSED
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
    """The offered text is now in force.

    Attributes:
        configuration: The new configuration.
        previous: The configuration before, None for the first one.
    """

    configuration: Configuration
    previous: Configuration | None


@dataclass(frozen=True, slots=True)
class Known:
    """The offered text is in force, or was refused before."""


@dataclass(frozen=True, slots=True)
class Stale:
    """The offered revision is lower than the one in force.

    Attributes:
        revision: The offered revision.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The offered text differs from the one in force but has the same revision.

    Attributes:
        revision: The offered revision.
        digest: Digest of the offered text.
    """

    revision: int
    digest: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The offered text is not valid.

    Attributes:
        revision: The offered revision.
        digest: Digest of the offered text.
        detail: What is wrong.
    """

    revision: int
    digest: str
    detail: str


OfferResult = Accepted | Known | Stale | Conflict | Invalid


class ConfigurationStore:
    """Holds the configuration in force and ignores lower revisions."""

    __slots__ = ("_current", "_names_by_number", "_numbers_by_name", "_rejected")

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._rejected: Invalid | None = None
        # Numbers and names of all services that were in force since the process
        # started. A number stays reserved after its service is removed, because packets
        # with an old token may still arrive.
        self._names_by_number: dict[int, str] = {}
        self._numbers_by_name: dict[str, int] = {}

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
        if revision < max(1, self.revision):
            return Stale(revision)
        digest = text_digest(text)
        if self._current is not None and revision == self.revision:
            known = digest == self._current.digest
            return Known() if known else Conflict(revision, digest)
        if self._is_refused(revision, digest):
            return Known()
        try:
            document = check_text(text)
            self._check_numbers(text, document)
        except ResultError as error:
            return self._refuse(Invalid(revision, digest, str(error)))
        previous = self._current
        self._current = Configuration(revision, text, digest, document)
        if self._rejected is not None and self._rejected.revision <= revision:
            self._rejected = None
        return Accepted(self._current, previous)

    def confirm(self, configuration: Configuration) -> None:
        """Record that every part of the process has applied a configuration."""
        for name, service in configuration.document.services.items():
            self._names_by_number[service.number] = name
            self._numbers_by_name[name] = service.number

    def revert(self, accepted: Accepted, detail: str) -> None:
        """Return to the previous configuration before the new one was confirmed.

        Args:
            accepted: The configuration that could not be applied.
            detail: Why it could not be applied.
        """
        failed = accepted.configuration
        self._current = accepted.previous
        self._refuse(Invalid(failed.revision, failed.digest, detail))

    def _is_refused(self, revision: int, digest: str) -> bool:
        refused = self._rejected
        return refused is not None and (revision, digest) == (
            refused.revision,
            refused.digest,
        )

    def _refuse(self, invalid: Invalid) -> Invalid:
        if invalid.revision >= self.seen_revision:
            self._rejected = invalid
        return invalid

    def _check_numbers(self, text: str, document: Text) -> None:
        for name, service in document.services.items():
            earlier_name = self._names_by_number.get(service.number, name)
            earlier_number = self._numbers_by_name.get(name, service.number)
            if earlier_name != name:
                reason = (
                    f"an earlier revision uses this number for service {earlier_name!r}"
                )
            elif earlier_number != service.number:
                reason = (
                    f"an earlier revision gives the service number {earlier_number}"
                )
            else:
                continue
            problem = Problem(("services", name, "number"), reason)
            raw = msgspec.json.decode(text)
            raise located_error(text, raw, problem, NUMBER_REUSED)
