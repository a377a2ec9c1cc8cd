"""Small fakes at the interfaces of the forwarding plug-ins."""

import asyncio
from types import SimpleNamespace

from prometheus_client import CollectorRegistry

from balsamspool.kernel.identity import Role
from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.kernel.lifecycle import ProcessState
from balsamspool.plugins.configuration import ConfigurationPlugin
from balsamspool.plugins.configuration.text import Service
from balsamspool.plugins.forwarding.entry import EntrySettings
from balsamspool.plugins.membership import Instance, ListedState, MembershipPlugin
from balsamspool.plugins.membership.signals import (
    SIGNAL_LIFETIME_SECONDS,
    SignalBoard,
    SignalState,
)
from balsamspool.plugins.routing import RoutingPlugin

KEYS = KeySet(active=1, secrets={"1": "11" * 32})


class FakeMembership:
    def __init__(self):
        self.listed = []
        self.board = SignalBoard()
        self.subscribers = []
        self.changes = 0

    @property
    def instances(self):
        return self.listed

    def subscribe(self, callback):
        self.subscribers.append(callback)

    def change(self, listed):
        self.listed = listed
        for callback in self.subscribers:
            callback()

    def record_signal(self, address, port, signal):
        self.changes += self.board.record(address, port, signal)

    def version(self, service):
        return self.changes

    def signal(self, instance):
        return self.board.latest(instance.address, instance.data_port)

    def accepts(self, instance):
        signal = self.signal(instance)
        return signal is None or signal.state is SignalState.ACCEPTING

    def held_as_leaving(self):
        return [
            host
            for host in self.listed
            if not self.accepts(host)
            and self.board.silent_seconds(*host.endpoint) > SIGNAL_LIFETIME_SECONDS
        ]

    def entries(self):
        return [i for i in self.listed if i.role is Role.ENTRY]


class FakeConfiguration:
    def __init__(self):
        self.services = {}
        self.subscribers = []

    def subscribe(self, callback):
        self.subscribers.append(callback)
        callback(self.current())

    def current(self):
        document = SimpleNamespace(
            services=dict(self.services), host_networks=["127.0.0.0/8"]
        )
        return SimpleNamespace(document=document)

    def change(self, **addresses):
        self.services = {
            name: Service(number, address)
            for name, (number, address) in addresses.items()
        }
        for callback in self.subscribers:
            callback(self.current())


class FakeKernel:
    def __init__(self, data_port=0):
        self.metrics = CollectorRegistry()
        self.keyring = KeyRing(KEYS)
        self.state = ProcessState.ACCEPTING
        self.identity = SimpleNamespace(
            instance="self",
            failure_domain="a",
            address="127.0.0.1",
            data_port=data_port,
        )
        self.settings = SimpleNamespace(section=lambda name: EntrySettings())
        self.membership = FakeMembership()
        self.configuration = FakeConfiguration()
        self.tasks = []
        self.routing = None
        self.routing = RoutingPlugin(self)

    def plugin(self, plugin_type):
        found = {
            MembershipPlugin: self.membership,
            ConfigurationPlugin: self.configuration,
        }
        return found.get(plugin_type, self.routing)

    def spawn(self, work, name):
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.append(task)
        return task


class FakeTransport:
    def __init__(self):
        self.sent = []

    def sendto(self, data, to):
        self.sent.append((data, to))

    def close(self):
        pass


class Clock:
    """Replaces the time of the running loop."""

    def __init__(self):
        self.time = 100.0
        asyncio.get_running_loop().time = lambda: self.time


def instance(name, port, role=Role.AGENT, service="portal", domain="a"):
    return Instance(
        name,
        role,
        ListedState.LIVE,
        domain,
        "127.0.0.1",
        port,
        1,
        1,
        service if role is Role.AGENT else None,
    )


def dropped(kernel, reason):
    value = kernel.metrics.get_sample_value(
        "balsamspool_forwarding_dropped_datagrams_total", {"reason": reason}
    )
    return int(value or 0)
