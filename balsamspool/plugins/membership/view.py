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

# A list that says live this long after the last leaving signal no longer lags: whoever
# is still leaving repeats the signal on its datagrams, or is listed as leaving.
LIST_LAG_SECONDS = 60.0


class View:
    """Decides which instances take new work.

    It only decides about new work. An instance whose record vanished, or that is
    leaving, is still reached by flows whose token names it.
    """

    __slots__ = (
        "_board",
        "_drained",
        "_draining",
        "_gone",
        "_instances",
        "_listed",
        "_versions",
    )

    def __init__(self) -> None:
        self._board = SignalBoard()
        self._instances: dict[str, Instance] = {}
        self._listed: dict[tuple[str, int], Instance] = {}
        # Leaving signals whose record was absent or leaving in a later list. If such a
        # record is live again, the list speaks of a new process.
        self._gone: set[tuple[str, int]] = set()
        self._draining: frozenset[str] = frozenset()
        # Instances that a text has drained; they may return without a new process.
        self._drained: set[str] = set()
        self._versions: dict[str, int] = {}

    @property
    def instances(self) -> list[Instance]:
        """All listed instances."""
        return list(self._instances.values())

    def drain(self, hosts: Collection[str]) -> None:
        """Set the instances that the configuration text takes out of use."""
        ended = self._draining - frozenset(hosts)
        self._draining = frozenset(hosts)
        self._drained |= self._draining
        for name in ended:
            instance = self._instances.get(name)
            if instance is not None:
                # Its last word was that it leaves, and without new flows it would get
                # none that could carry another one.
                self._board.forget(*instance.endpoint)

    def replace(self, instances: dict[str, Instance]) -> None:
        """Take over a newer list.

        Args:
            instances: Records by name of the instance.
        """
        before, after = self._listed, {i.endpoint: i for i in instances.values()}
        # Without a signal there is nothing to forget or to mark. An agent hears of few
        # of the 4,740 instances of a list.
        for endpoint in self._board.endpoints():
            old, new = before.get(endpoint), after.get(endpoint)
            if old is None and new is None:
                continue
            if new is None or new.state is ListedState.LEAVING:
                if self._has_left(endpoint):
                    self._gone.add(endpoint)
            elif (
                endpoint in self._gone
                or (old is not None and old.instance != new.instance)
                or self._board.silent_seconds(*endpoint) > LIST_LAG_SECONDS
            ):
                self._board.forget(*endpoint)
                self._gone.discard(endpoint)
        # A signal that is no longer held needs no mark.
        self._gone = {endpoint for endpoint in self._gone if self._has_left(endpoint)}
        self._instances = instances
        self._drained &= instances.keys() | self._draining
        self._listed = after

    def note(
        self, address: str, data_port: int, signal: Signal, incarnation: bytes = b""
    ) -> None:
        """Record what the instance at an address said of itself."""
        listed = self._listed.get((address, data_port))
        drained = listed is not None and listed.instance in self._drained
        changed = self._board.note(address, data_port, signal, incarnation, drained)
        if changed and listed is not None and listed.service is not None:
            self._versions[listed.service] = self.version(listed.service) + 1

    def version(self, service: str) -> int:
        """Return a counter of the changes that direct signals made to a service.

        It grows with each change of the state or load step of a host. It does not grow
        when a signal becomes too old or the list changes.
        """
        return self._versions.get(service, 0)

    def signal(self, instance: Instance) -> Signal | None:
        """Return the latest signal of an instance, or None."""
        return self._board.latest(*instance.endpoint)

    def held_as_leaving(self) -> list[Instance]:
        """Return instances that are listed as live but held as leaving in silence.

        Such an instance may have been restarted at once. It gets no new flows that
        could carry its signal, so it has to be probed.
        """
        return [
            instance
            for instance in self._instances.values()
            if instance.state is ListedState.LIVE
            and self._has_left(instance.endpoint)
            and self._board.silent_seconds(*instance.endpoint) > SIGNAL_LIFETIME_SECONDS
        ]

    def accepting(self, role: Role, service: str | None = None) -> list[Instance]:
        """Return the instances of a role, and of a service, that take new work."""
        return [
            instance
            for instance in self._instances.values()
            if instance.role is role
            and instance.service == service
            and self.accepts(instance)
        ]

    def asks_to_leave(self, name: str) -> bool:
        """Return whether the text or the list takes an instance out of use."""
        listed = self._instances.get(name)
        return name in self._draining or (
            listed is not None and listed.state is ListedState.LEAVING
        )

    def accepts(self, instance: Instance) -> bool:
        """Return whether an instance takes new work, as far as is known."""
        if instance.instance in self._draining:
            return False
        match self._board.latest(*instance.endpoint):
            case Signal(SignalState.LEAVING):
                return False
            case Signal(SignalState.ACCEPTING):
                return True
            case _:
                return instance.state is ListedState.LIVE

    def _has_left(self, endpoint: tuple[str, int]) -> bool:
        signal = self._board.latest(*endpoint)
        return signal is not None and signal.state is SignalState.LEAVING
