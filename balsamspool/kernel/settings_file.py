"""The settings file of a process, which is read again after a change."""

import os
from collections.abc import Callable

from balsamspool.kernel.settings import Settings


class SettingsFile:
    """Reads the settings of a process and detects changes of their file.

    Args:
        path: Path of the file.
        read: Function that reads and checks the file at a path.
    """

    __slots__ = ("_path", "_read", "_last_read_version")

    def __init__(self, path: str, read: Callable[[str], Settings]) -> None:
        self._path = path
        self._read = read
        self._last_read_version = self._version()

    def read(self) -> Settings:
        """Read the file and return its settings.

        Raises:
            ResultError: With code 1001 or 1002 if the settings are not valid.
        """
        self._last_read_version = self._version()
        return self._read(self._path)

    def changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        return self._version() != self._last_read_version

    def _version(self) -> tuple[int, int, int] | None:
        """Return inode, size and modification time, or None without a file."""
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
