"""Lifecycle of a process: start, run, drain, stop."""

import asyncio
import logging
import random
import signal
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import TYPE_CHECKING, Any, TypeVar, cast

from balsamspool.kernel.clock import now, processor_seconds, suspended_seconds
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.events import (
    PROCESS_RESUMED,
    PROCESS_STARTED,
    PROCESS_STOPPED,
    SETTINGS_REFUSED,
    SETTINGS_RELOADED,
    SETTINGS_UNCHANGED,
    STOP_REPEATED,
    STOP_REQUESTED,
    TASK_FAILED,
    TASK_RESTARTED,
)
from balsamspool.kernel.identity import Identity, Role
from balsamspool.kernel.keyring import KeyRing
from balsamspool.kernel.registry import Plugin, plugins_of
from balsamspool.kernel.settings import Settings
from balsamspool.kernel.settings_file import SettingsFile

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

P = TypeVar("P", bound=Plugin)

_logger = logging.getLogger(__name__)

# A pause of the process that is longer than this is reported, because the process may
# hold an outdated view of the fleet afterwards.
PAUSE_LIMIT_SECONDS = 1.0
PAUSE_CHECK_SECONDS = 0.25
# Interval between checks of the settings file. Operators announce urgent changes by
# SIGHUP, which reloads the file immediately.
SETTINGS_CHECK_SECONDS = 2.0
# Pause before a failed background task is started again, so that a lasting failure does
# not fill the log.
RESTART_PAUSE_SECONDS = 0.5


async def run_supervised(
    work: Callable[[], Coroutine[Any, Any, None]], name: str
) -> None:
    """Run work until it returns; run it again if it fails unexpectedly.

    Args:
        work: Returns the coroutine to run.
        name: Name of the work for logs.
    """
    while True:
        try:
            return await work()
        except Exception as error:
            TASK_RESTARTED.log(_logger, task=name, error=repr(error))
        await asyncio.sleep(RESTART_PAUSE_SECONDS)


class ProcessState(Enum):
    """State of a process, as reported to other processes."""

    STARTING = "starting"
    ACCEPTING = "accepting"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Kernel:
    """Runs the plug-ins of one role.

    Args:
        role: Role of the process.
        settings: Checked settings of the process.
        settings_file: File from which the settings are reloaded after a change, None
            if they are not reloaded.
    """

    def __init__(
        self,
        role: Role,
        settings: Settings,
        settings_file: SettingsFile | None = None,
    ) -> None:
        self._settings = settings
        self._settings_file = settings_file
        self._identity = Identity.from_settings(role, settings.process)
        self._keyring = KeyRing(settings.process.shared_keys)
        self._metrics: CollectorRegistry | None = None
        self._counters = CounterSet()
        self._state = ProcessState.STARTING
        self._stop_requested = asyncio.Event()
        self._failed = False
        self._pauses = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._plugins: dict[str, Plugin] = {}
        for registration in plugins_of(role):
            self._plugins[registration.name] = registration.plugin(self)

    @property
    def identity(self) -> Identity:
        """Identity of this process."""
        return self._identity

    @property
    def settings(self) -> Settings:
        """Checked settings of the process."""
        return self._settings

    @property
    def keyring(self) -> KeyRing:
        """Shared keys in force."""
        return self._keyring

    @property
    def metrics(self) -> "CollectorRegistry":
        """Registry in which plug-ins create their metrics."""
        if self._metrics is None:
            # Imported here so that a process that is never scraped starts faster.
            from prometheus_client import CollectorRegistry

            self._metrics = CollectorRegistry()
        return self._metrics

    @property
    def counters(self) -> CounterSet:
        """Plain counters and histograms for code that handles each packet."""
        return self._counters

    @property
    def state(self) -> ProcessState:
        """State of the process."""
        return self._state

    @property
    def pauses(self) -> int:
        """Number of times the process was found to have been paused."""
        return self._pauses

    @property
    def plugins(self) -> dict[str, Plugin]:
        """Running plug-ins by name, in the order in which they start."""
        return dict(self._plugins)

    def plugin(self, plugin_type: type[P]) -> P:
        """Return the plug-in of a type.

        Args:
            plugin_type: Class of the plug-in.

        Returns:
            The plug-in.

        Raises:
            LookupError: If this process does not run such a plug-in.
        """
        for plugin in self._plugins.values():
            if isinstance(plugin, plugin_type):
                return cast(P, plugin)
        raise LookupError(f"no plug-in of type {plugin_type.__name__}")

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Start a background task. Its failure stops the process gracefully.

        Args:
            work: Coroutine to run.
            name: Name of the task for logs.

        Returns:
            The task.
        """
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def supervise(
        self, work: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task[Any]:
        """Start a background task, and start it again if it fails unexpectedly.

        One malformed message or record must not end the process. The task must be able
        to begin again at any point.

        Args:
            work: Returns the coroutine to run.
            name: Name of the task for logs.

        Returns:
            The task.
        """
        return self.spawn(run_supervised(work, name), name)

    def new_random(self) -> random.Random:
        """Return a random number generator, which the emulator seeds."""
        return random.Random()

    def request_stop(self) -> None:
        """Request a graceful stop. Further calls have no effect."""
        if self._stop_requested.is_set():
            STOP_REPEATED.log(_logger)
            return
        STOP_REQUESTED.log(_logger)
        self._state = ProcessState.LEAVING
        self._stop_requested.set()

    def reload(self) -> None:
        """Read the settings again and let plug-ins apply the changes.

        If the settings cannot be read or are not valid, the earlier ones stay in force.
        """
        if self._settings_file is None:
            return
        try:
            settings = self._settings_file.read()
        except ResultError as error:
            SETTINGS_REFUSED.log(_logger, error=str(error))
            return
        if settings == self._settings:
            SETTINGS_UNCHANGED.log(_logger)
            return
        self._settings = settings
        for plugin in self._plugins.values():
            plugin.reload()
        logging.getLogger().setLevel(settings.process.log_level.upper())
        SETTINGS_RELOADED.log(_logger)

    async def run(self) -> int:
        """Start, serve until a stop is requested, drain and stop.

        Returns:
            Exit code: 0 after a graceful stop, 1 after a failure.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        try:
            await self.start()
            await self._stop_requested.wait()
            await self.drain()
        finally:
            await self.stop()
        return 1 if self._failed else 0

    async def start(self) -> None:
        """Start all plug-ins in order."""
        for plugin in self._plugins.values():
            await plugin.start()
        if self._state is ProcessState.STARTING:
            self._state = ProcessState.ACCEPTING
        self.spawn(self._watch_pauses(), "pause watch")
        if self._settings_file is not None:
            self.spawn(self._watch_settings(self._settings_file), "settings watch")
        identity = self._identity
        PROCESS_STARTED.log(_logger, role=identity.role.value, address=identity.address)

    async def drain(self) -> None:
        """Let all plug-ins finish their work in progress."""
        self._state = ProcessState.LEAVING
        async with asyncio.TaskGroup() as group:
            for plugin in self._plugins.values():
                group.create_task(plugin.drain())

    async def stop(self) -> None:
        """Stop all plug-ins in reverse order and cancel background tasks."""
        for plugin in reversed(list(self._plugins.values())):
            await plugin.stop()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._state = ProcessState.STOPPED
        PROCESS_STOPPED.log(_logger)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        TASK_FAILED.log(_logger, task=task.get_name(), error=repr(task.exception()))
        self._failed = True
        if not self._stop_requested.is_set():
            self.request_stop()

    async def _watch_settings(self, settings_file: SettingsFile) -> None:
        """Reload the settings if their file changes without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_SECONDS)
            if settings_file.changed():
                self.reload()

    async def _watch_pauses(self) -> None:
        last, suspended, used = now(), suspended_seconds(), processor_seconds()
        while True:
            await asyncio.sleep(PAUSE_CHECK_SECONDS)
            gap = now() - last + suspended_seconds() - suspended
            busy = processor_seconds() - used
            last, suspended, used = now(), suspended_seconds(), processor_seconds()
            if gap > PAUSE_LIMIT_SECONDS + PAUSE_CHECK_SECONDS:
                self._pauses += 1
                PROCESS_RESUMED.log(
                    _logger, seconds=round(gap, 3), processor_seconds=round(busy, 3)
                )
