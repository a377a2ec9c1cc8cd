"""The settings file of a process, read again when it changes."""

import os
from collections.abc import Callable

from balsamspool.kernel.settings import Settings


class SettingsFile:
    """Reads the settings of a process and notices that their file has changed.

    Args:
        path: Path of the file.
        read: Reads and checks the file.
    """

    __slots__ = ("_path", "_read", "_seen")

    def __init__(self, path: str, read: Callable[[str], Settings]) -> None:
        self._path = path
        self._read = read
        self._seen = self._version()

    def read(self) -> Settings:
        """Return the settings as they stand in the file now.

        Raises:
            ResultError: With code 1001 or 1002 if they are not valid.
        """
        self._seen = self._version()
        return self._read(self._path)

    def changed(self) -> bool:
        """Return whether the file differs from the one that was read last."""
        return self._version() != self._seen

    def _version(self) -> tuple[int, int, int] | None:
        """Return what changes with the file, None while there is none."""
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns
