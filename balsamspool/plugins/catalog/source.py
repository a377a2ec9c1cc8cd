"""Interface to the service that publishes the catalog."""

from balsamspool.kernel.registry import Plugin
from balsamspool.plugins.catalog.model import Changes, Snapshot
from balsamspool.plugins.catalog.revision import Revision


class CatalogSource(Plugin):
    """Base class of the plug-in that reads the catalog from the publishing service.

    An adapter registers one subclass. It only translates; the catalog plug-in decides
    when to call and what to do after a failure. Changes may be of a later era than the
    revision after which they were requested. `watch` may run at the same time as one of
    the other calls.
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
        raise NotImplementedError

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
