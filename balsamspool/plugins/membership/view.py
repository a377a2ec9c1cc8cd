"""The view of the fleet: the platform's list and direct signals."""

from collections.abc import Collection

from balsamspool.kernel.identity import Role
from balsamspool.plugins.membership.instance import Instance, ListedState
from balsamspool.plugins.membership.signals import (
    SIGNAL_LIFETIME_SECONDS,
    Signal,
    SignalBoard,
    SignalState,
)

# A list may still show a leaving instance as live for this long after the last leaving
# signal of the instance. A later list is assumed to be up to date, because an instance
# that is still leaving repeats its leaving signal in its datagrams, or is listed as
# leaving.
LIST_LAG_SECONDS = 60.0


class View:
    """Decides which instances accept new work.

    Open flows are not affected: they still reach the instance that their token names
    even if it is leaving or no longer listed.
    """

    __slots__ = (
        "_board",
        "_by_endpoint",
        "_confirmed_leaving",
        "_draining",
        "_ever_drained",
        "_instances",
        "_versions",
    )

    def __init__(self) -> None:
        self._board = SignalBoard()
        self._instances: dict[str, Instance] = {}
        self._by_endpoint: dict[tuple[str, int], Instance] = {}
        # Endpoints with a leaving signal that were absent from a later list or listed
        # as leaving. If such an endpoint is listed as live again, a new process runs
        # there.
        self._confirmed_leaving: set[tuple[str, int]] = set()
        self._draining: frozenset[str] = frozenset()
        # Instances that any configuration text so far has drained. They may accept work
        # again without a restart.
        self._ever_drained: set[str] = set()
        self._versions: dict[str, int] = {}

    @property
    def instances(self) -> list[Instance]:
        """All listed instances."""
        return list(self._instances.values())

    def set_draining_hosts(self, hosts: Collection[str]) -> None:
        """Set the instances that the configuration text drains."""
        returned = self._draining - frozenset(hosts)
        self._draining = frozenset(hosts)
        self._ever_drained |= self._draining
        for name in returned:
            instance = self._instances.get(name)
            if instance is not None:
                # The last signal of the instance was "leaving". Signals travel with the
                # datagrams of flows, so without new flows the instance could not send a
                # newer signal.
                self._board.forget(*instance.endpoint)

    def replace(self, instances: dict[str, Instance]) -> None:
        """Apply a newer list.

        Args:
            instances: Records by name of the instance.
        """
        before, after = self._by_endpoint, {i.endpoint: i for i in instances.values()}
        # Only endpoints with a signal need to be updated. An agent has signals from
        # only a few of the 4,740 instances of a list.
        for endpoint in self._board.endpoints():
            old, new = before.get(endpoint), after.get(endpoint)
            if old is None and new is None:
                continue
            if new is None or new.state is ListedState.LEAVING:
                if self._has_leaving_signal(endpoint):
                    self._confirmed_leaving.add(endpoint)
            elif (
                endpoint in self._confirmed_leaving
                or (old is not None and old.instance != new.instance)
                or self._board.silent_seconds(*endpoint) > LIST_LAG_SECONDS
            ):
                self._board.forget(*endpoint)
                self._confirmed_leaving.discard(endpoint)
        # Removes the endpoints that no longer have a leaving signal.
        self._confirmed_leaving = {
            endpoint
            for endpoint in self._confirmed_leaving
            if self._has_leaving_signal(endpoint)
        }
        self._instances = instances
        self._ever_drained &= instances.keys() | self._draining
        self._by_endpoint = after

    def record_signal(
        self, address: str, data_port: int, signal: Signal, incarnation: bytes = b""
    ) -> None:
        """Record a direct signal of the instance at an address."""
        listed = self._by_endpoint.get((address, data_port))
        drained = listed is not None and listed.instance in self._ever_drained
        changed = self._board.record(address, data_port, signal, incarnation, drained)
        if changed and listed is not None and listed.service is not None:
            self._versions[listed.service] = self.version(listed.service) + 1

    def version(self, service: str) -> int:
        """Return how often direct signals have changed the hosts of a service.

        The number grows with each change of the state or load step of a host. It does
        not grow when a signal expires or the list changes.
        """
        return self._versions.get(service, 0)

    def signal(self, instance: Instance) -> Signal | None:
        """Return the latest signal of an instance, or None."""
        return self._board.latest(*instance.endpoint)

    def held_as_leaving(self) -> list[Instance]:
        """Return the instances listed as live that are silent since a leaving signal.

        Such an instance may have been restarted immediately. It gets no new flows that
        could carry its signal, so it has to be probed.
        """
        return [
            instance
            for instance in self._instances.values()
            if instance.state is ListedState.LIVE
            and self._has_leaving_signal(instance.endpoint)
            and self._board.silent_seconds(*instance.endpoint) > SIGNAL_LIFETIME_SECONDS
        ]

    def accepting(self, role: Role, service: str | None = None) -> list[Instance]:
        """Return the instances of a role, and of a service, that accept new work."""
        return [
            instance
            for instance in self._instances.values()
            if instance.role is role
            and instance.service == service
            and self.accepts(instance)
        ]

    def is_asked_to_leave(self, name: str) -> bool:
        """Return whether the text or the list asks an instance to leave."""
        listed = self._instances.get(name)
        return name in self._draining or (
            listed is not None and listed.state is ListedState.LEAVING
        )

    def accepts(self, instance: Instance) -> bool:
        """Return whether an instance accepts new work, as far as is known."""
        if instance.instance in self._draining:
            return False
        match self._board.latest(*instance.endpoint):
            case Signal(SignalState.LEAVING):
                return False
            case Signal(SignalState.ACCEPTING):
                return True
            case _:
                return instance.state is ListedState.LIVE

    def _has_leaving_signal(self, endpoint: tuple[str, int]) -> bool:
        signal = self._board.latest(*endpoint)
        return signal is not None and signal.state is SignalState.LEAVING
