"""Operators' interfaces of a small deployment in one process."""

from collections.abc import Callable

import httpx
import msgspec
from litestar import Litestar

from cuminhoist.accounts import AccountLine, AccountSource
from cuminhoist.clock import ManualClock
from cuminhoist.control_api import ControlParts, control_handlers
from cuminhoist.delivery import Delivery
from cuminhoist.deltas import ConfigStore
from cuminhoist.fanout import address_of
from cuminhoist.inforce import ConfigInForce
from cuminhoist.operatorclient import OperatorClient
from cuminhoist.settings import Topology

from . import builders
from .builders_delivery import (
    FakeNetwork,
    FakeTransport,
    MemoryCluster,
    grid_topology,
)


class ControlApps:
    """Operators' interfaces of all instances of a small deployment.

    Instances without a control replica take each committed version at once.
    """

    def __init__(self, operator_token: str = '') -> None:
        self.topology = on_free_hosts(
            msgspec.structs.replace(
                grid_topology(2, 2, controls=2),
                services=builders.example_topology().services,
            ),
        )
        self.net = FakeNetwork()
        self.accounts = FixedAccounts()
        clock = ManualClock()
        names = tuple(entry.name for entry in self.topology.controls())
        self.cluster = MemoryCluster(names, clock)
        self.apps: dict[str, Litestar] = {}
        self.stores: dict[str, ConfigStore] = {}
        for instance in self.topology.instances:
            cfg = builders.settings_of(self.topology, instance.name)
            in_force = ConfigInForce()
            transport = FakeTransport(instance.name, self.net)
            log = self.cluster.logs.get(instance.name)
            delivery = Delivery(
                instance.name, self.topology, in_force, transport, clock, log
            )
            if log is None:
                first = self.cluster.logs[names[0]]
                first.on_commit(delivery.store.publish)
            parts = ControlParts(
                cfg=msgspec.structs.replace(cfg, operator_token=operator_token),
                topology=self.topology,
                incarnation=f'{instance.name}-i',
                in_force=in_force,
                delivery=delivery,
                transport=transport,
                log=log,
                accounts=self.accounts,
            )
            self.stores[instance.name] = delivery.store
            self.apps[instance.name] = Litestar(
                control_handlers(parts), openapi_config=None
            )

    def url(self, name: str) -> str:
        """Return the address of an instance."""
        return address_of(self.topology.instance(name))

    def client(
        self,
        name: str,
        wrap: Callable[
            [httpx.AsyncBaseTransport], httpx.AsyncBaseTransport
        ] = lambda inner: inner,
        token: str = '',
    ) -> OperatorClient:
        """Return a client of an instance that reaches all the others."""
        mounts = {
            self.url(one): wrap(httpx.ASGITransport(app))
            for one, app in self.apps.items()
        }
        headers = {'authorization': f'Bearer {token}'} if token else {}
        http = httpx.AsyncClient(mounts=mounts, headers=headers)
        return OperatorClient(http, self.url(name), pause_s=0)


class FixedAccounts(AccountSource):
    """Accounts with one line."""

    def snapshot(self) -> tuple[AccountLine, ...]:
        """Return the line."""
        line = AccountLine(
            caller='acme',
            service='catalogue',
            kind='browse',
            outcome='served',
            reason='',
            count=3,
            weight=4.5,
        )
        return (line,)


def on_free_hosts(topology: Topology) -> Topology:
    """Return a topology whose instances have distinct addresses."""
    instances = tuple(
        msgspec.structs.replace(entry, http_port=8000 + at, internal_port=9000)
        for at, entry in enumerate(topology.instances)
    )
    return msgspec.structs.replace(topology, instances=instances)
