"""Watches for evidence that all backend servers have just started."""

import logging

from msgspec.structs import asdict

from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.events import (
    FLEET_RESTART_UNPROVEN,
    FLEET_RESTARTED,
)
from balsamspool.plugins.catalog.fleet_restart import (
    FleetRestarted,
    Unproven,
    judge_restart,
)
from balsamspool.plugins.catalog.model import Changes
from balsamspool.plugins.catalog.view import CatalogView

_logger = logging.getLogger(__name__)

RESTARTS = "balsamspool_catalog_fleet_restarts"
RESTARTS_HELP = "Restarts of all backend servers that the catalog showed"


class FleetRestartWatch:
    """Judges after a start whether all backend servers have restarted too.

    Args:
        view: What the catalog shows now.
        completeness: Is told of a restart.
        counters: Counters of the process, None to count for nobody.
    """

    __slots__ = ("_completeness", "_history", "_restarts", "_unproven", "_view")

    def __init__(
        self,
        view: CatalogView,
        completeness: Completeness,
        counters: CounterSet | None = None,
    ) -> None:
        self._view = view
        self._completeness = completeness
        self._history: Changes | None = None
        self._unproven: Unproven | None = None
        self._restarts = (counters or CounterSet()).counter(RESTARTS, RESTARTS_HELP)

    def record_history(self, history: Changes | None) -> None:
        """Record the changes before the first answer, None if they are not known."""
        self._history = history
        self.judge()

    def judge(self) -> None:
        """Judge from what the catalog shows now, if a restart is of use."""
        time = now()
        if self._history is None or not self._completeness.awaits_relisting(time):
            return
        match judge_restart(self._history, self._view.fleet_state(time)):
            case FleetRestarted() as restart:
                self._completeness.record_restart()
                self._restarts.value += 1
                FLEET_RESTARTED.log(_logger, **asdict(restart))
            case Unproven(doubt, detail) as unproven:
                if self._unproven is None or doubt is not self._unproven.doubt:
                    FLEET_RESTART_UNPROVEN.log(
                        _logger, doubt=doubt.value, detail=detail
                    )
                self._unproven = unproven
