"""An entry or agent of the product, run inside the emulator."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar, cast

from balsamspool.datagram.settings import DatagramAgentSettings, DatagramEntrySettings
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.identity import Identity, Role
from balsamspool.kernel.lifecycle import ProcessState, run_supervised
from balsamspool.kernel.registry import Plugin
from balsamspool.kernel.settings import BaseProcessSettings, Section, Settings
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.plugin import CatalogSettings
from balsamspool.plugins.datagram_agent import DatagramAgentPlugin
from balsamspool.plugins.datagram_entry import DatagramEntryPlugin
from emulator.backend_server import APP_PORT, OUTBOUND_PORT
from emulator.caller import CALLER_PORT
from emulator.catalog_history import CatalogRun
from emulator.catalog_peers import CONTROL_PORT, EmulatedPeers
from emulator.catalog_service import CatalogService, EmulatedSource
from emulator.history import History
from emulator.network import EmulatedSockets, Network
from emulator.segment import SegmentCodec

DATA_PORT, PEER_PORT, ADMIN_PORT = 7720, 7735, 9464

P = TypeVar("P", bound=Plugin)


class EmulatedKernel:
    """The kernel that plug-ins see, without signals, files and a clock of its own.

    Args:
        role: Role of the process.
        process: Settings of the process.
        sections: Settings of the plug-ins.
        rng: Random number generator.
    """

    def __init__(
        self,
        role: Role,
        process: BaseProcessSettings,
        sections: dict[str, Section],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self.identity = Identity.from_settings(role, process)
        self.settings = Settings(process, sections)
        self.counters = CounterSet()
        self.state = ProcessState.ACCEPTING
        self.pauses = 0
        self._plugins: list[Plugin] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def plugins(self) -> Sequence[Plugin]:
        """Plug-ins in the order in which they start."""
        return self._plugins

    def add(self, plugin: Plugin) -> None:
        """Add a plug-in after those that it requires."""
        self._plugins.append(plugin)

    def plugin(self, plugin_type: type[P]) -> P:
        """Return the plug-in of a type.

        Raises:
            LookupError: If this process does not run such a plug-in.
        """
        for plugin in self._plugins:
            if isinstance(plugin, plugin_type):
                return cast(P, plugin)
        raise LookupError(f"no plug-in of type {plugin_type.__name__}")

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Start a background task."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def supervise(
        self, work: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task[Any]:
        """Start a background task, and start it again if it fails."""
        return self.spawn(run_supervised(work, name), name)

    def new_random(self) -> random.Random:
        """Return a random number generator that depends on the seed of the run."""
        return random.Random(self._rng.random())

    async def stop(self) -> None:
        """Stop the plug-ins and cancel all tasks."""
        for plugin in reversed(self._plugins):
            await plugin.stop()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class EmulatedProcess:
    """A process that can be started, stopped and killed.

    Args:
        role: Role of the process.
        instance: Name of the instance.
        address: Address of the instance.
        failure_domain: Failure domain of the instance.
        service: Service of its backend server, empty for an entry.
        network: The network.
        catalog: Service that publishes the catalog.
        history: Records what an entry knows of the catalog.
        rng: Random number generator.
    """

    def __init__(
        self,
        role: Role,
        instance: str,
        address: str,
        failure_domain: str,
        service: str,
        network: Network,
        catalog: CatalogService,
        history: History,
        rng: random.Random,
    ) -> None:
        self.role = role
        self.instance = instance
        self.address = address
        self.failure_domain = failure_domain
        self._service = service
        self._network = network
        self._catalog = catalog
        self._history = history
        self._catalog_run: CatalogRun | None = None
        self._rng = rng
        self.kernel: EmulatedKernel | None = None

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.kernel is not None

    @property
    def ready(self) -> bool:
        """Whether the process would answer a probe of the fabric that it is ready."""
        kernel = self.kernel
        if kernel is None or kernel.state is not ProcessState.ACCEPTING:
            return False
        return all(plugin.ready for plugin in kernel.plugins)

    async def start(self) -> None:
        """Start the plug-ins."""
        kernel = self.kernel = self._new_kernel()
        if self.role is Role.DATAGRAM_ENTRY:
            self._record_catalog(kernel)
        for plugin in kernel.plugins:
            await plugin.start()

    async def kill(self) -> None:
        """Stop immediately, without draining."""
        kernel, self.kernel = self.kernel, None
        if self._catalog_run is not None:
            self._catalog_run.stopped = now()
            self._catalog_run = None
        if kernel is not None:
            await kernel.stop()

    async def terminate(self) -> None:
        """Stop as after a termination signal: leave, drain, then stop."""
        kernel = self.kernel
        if kernel is None:
            return
        kernel.state = ProcessState.LEAVING
        await asyncio.gather(*(plugin.drain() for plugin in kernel.plugins))
        if self.kernel is kernel:
            await self.kill()

    def _record_catalog(self, kernel: EmulatedKernel) -> None:
        """Record each change of what this run of the process knows of the catalog."""
        run = self._catalog_run = CatalogRun(self.instance, self.address, now())
        self._history.catalog_runs.append(run)
        view = kernel.plugin(CatalogPlugin).view
        view.subscribe(lambda: run.record(view, now()))

    def _new_kernel(self) -> EmulatedKernel:
        settings = BaseProcessSettings(
            instance=self.instance,
            failure_domain=self.failure_domain,
            address=self.address,
            data_port=DATA_PORT,
            peer_port=PEER_PORT,
            admin_port=ADMIN_PORT,
        )
        kernel = EmulatedKernel(self.role, settings, self._sections(), self._rng)
        kernel.add(SegmentCodec(kernel))
        kernel.add(EmulatedSockets(kernel, self._network))
        match self.role:
            case Role.DATAGRAM_ENTRY:
                kernel.add(EmulatedSource(kernel, self._catalog, self.instance))
                kernel.add(EmulatedPeers(kernel, self._network, self.address))
                kernel.add(CatalogPlugin(kernel))
                kernel.add(DatagramEntryPlugin(kernel))
            case Role.DATAGRAM_AGENT:
                kernel.add(DatagramAgentPlugin(kernel))
        return kernel

    def _sections(self) -> dict[str, Section]:
        address = f"{self.address}:{CALLER_PORT}"
        return {
            "catalog": CatalogSettings(listen=f"{self.address}:{CONTROL_PORT}"),
            "datagram-entry": DatagramEntrySettings(address=address),
            "datagram-agent": DatagramAgentSettings(
                address=address,
                service=self._service,
                backend=f"{self.address}:{APP_PORT}",
                outbound=f"{self.address}:{OUTBOUND_PORT}",
            ),
        }
