"""Interface to the service that publishes the catalog."""

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.registry import Plugin
from balsamspool.plugins.catalog.codes import CATALOG_HISTORY_LOST
from balsamspool.plugins.catalog.model import Changes, Snapshot
from balsamspool.plugins.catalog.revision import Revision

# Time for an answer of the service, beyond the wait that a watch asks for. The service
# usually answers within milliseconds, and a slow one within a few hundred.
ANSWER_SECONDS = 1.0
# The history is searched at most this many revisions back.
MAX_HISTORY_REVISIONS = 128
# Precision with which the search finds the oldest revision that the service keeps.
HISTORY_PRECISION_REVISIONS = 4


class CatalogSource(Plugin):
    """Base class of the plug-in that reads the catalog from the publishing service.

    An adapter registers one subclass. It only translates; the catalog plug-in decides
    when to call and what to do after a failure. Changes may be of a later era than the
    revision after which they were requested. Calls may overlap; none delays or ends
    another one.
    """

    async def read(self) -> Snapshot:
        """Read all records.

        Raises:
            ResultError: With code 2301 if the service does not answer, 2303 if its
                answer cannot be read.
        """
        raise NotImplementedError

    async def history(self, revision: Revision) -> Changes | None:
        """Return the latest changes up to a revision, None if they are not kept.

        Raises:
            ResultError: With code 2301 or 2303, as for `read`.
        """
        newest = Revision(revision)
        oldest_changes: Changes | None = None
        lost, kept = max(0, newest.number - MAX_HISTORY_REVISIONS) - 1, newest.number
        after = lost + 1
        # The search for the oldest revision that the service keeps is not exact,
        # because calls to the service are costly.
        while kept - lost > HISTORY_PRECISION_REVISIONS:
            changes = await self._changes_if_kept(Revision.of(newest.era, after))
            if changes is None:
                lost = after
            else:
                oldest_changes, kept = changes, after
            after = (lost + kept) // 2
        return oldest_changes

    async def _changes_if_kept(self, after: Revision) -> Changes | None:
        try:
            changes = await self.changes(after)
        except ResultError as error:
            if error.code is CATALOG_HISTORY_LOST:
                return None
            raise
        return changes if changes.continues(after) else None

    async def changes(self, after: Revision) -> Changes:
        """Return the changes after a revision, up to the time of this call.

        Args:
            after: Revision up to which changes are known.

        Raises:
            ResultError: With the codes of `watch`.
        """
        raise NotImplementedError

    async def watch(self, after: Revision, wait: float) -> Changes:
        """Wait for changes.

        Args:
            after: Revision up to which changes are known.
            wait: Longest wait in seconds.

        Returns:
            The changes, or none when the wait ended.

        Raises:
            ResultError: With code 2301 if the service does not answer, 2302 if the
                changes are no longer available, 2303 if the answer cannot be read.
        """
        raise NotImplementedError
