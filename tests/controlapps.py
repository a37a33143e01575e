"""Operators' interfaces of a small deployment in one process."""

from collections.abc import Callable

import httpx
import msgspec
from litestar import Litestar

from cuminhoist.account_records import (
    AccountLine,
    AccountSnapshot,
    AccountSource,
    OpenedLine,
)
from cuminhoist.clock import ManualClock
from cuminhoist.config_delivery import ConfigDelivery
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.deltas import ConfigStore
from cuminhoist.httperrors import exception_handlers
from cuminhoist.instance_queries import address_of
from cuminhoist.operator_api import (
    OperatorApi,
    OperatorApiDependencies,
    operator_handlers,
)
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

    def __init__(
        self,
        operator_token: str = '',
        per_domain: int = 2,
    ) -> None:
        self.topology = on_free_hosts(
            msgspec.structs.replace(
                grid_topology(2, per_domain, controls=2),
                services=builders.example_topology().services,
            ),
        )
        self.net = FakeNetwork()
        self.accounts: dict[str, FixedAccounts] = {}
        self.controls: dict[str, OperatorApi] = {}
        clock = ManualClock()
        names = tuple(entry.name for entry in self.topology.control_instances())
        self.cluster = MemoryCluster(names, clock)
        self.apps: dict[str, Litestar] = {}
        self.stores: dict[str, ConfigStore] = {}
        for instance in self.topology.instances:
            cfg = builders.settings_of(self.topology, instance.name)
            in_force = ConfigInForce()
            transport = FakeTransport(instance.name, self.net)
            log = self.cluster.logs.get(instance.name)
            delivery = ConfigDelivery(
                instance.name, self.topology, in_force, transport, clock, log
            )
            if log is None:
                first = self.cluster.logs[names[0]]
                first.on_commit(delivery.store.apply_committed)
            accounts = FixedAccounts(instance.name)
            self.accounts[instance.name] = accounts
            parts = OperatorApiDependencies(
                cfg=msgspec.structs.replace(cfg, operator_token=operator_token),
                topology=self.topology,
                incarnation=f'{instance.name}-i',
                in_force=in_force,
                delivery=delivery,
                transport=transport,
                control_log=log,
                accounts=accounts,
            )
            control = OperatorApi(parts)
            self.controls[instance.name] = control
            self.stores[instance.name] = delivery.store
            self.apps[instance.name] = Litestar(
                operator_handlers(control),
                openapi_config=None,
                exception_handlers=exception_handlers(),
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
    """Accounts with one line and one open request."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.incarnation = 'i1'
        self.count = 3

    def snapshot(self) -> AccountSnapshot:
        """Return the accounts."""
        line = AccountLine(
            caller='acme',
            service='catalogue',
            kind='browse',
            outcome='answered',
            reason='',
            count=self.count,
            weight=self.count * 1.5,
        )
        return AccountSnapshot(
            instance=self.instance,
            incarnation=self.incarnation,
            lines=(line,),
            opened=(OpenedLine('acme', 'catalogue', self.count + 1),),
            open_tickets=1,
        )


def on_free_hosts(topology: Topology) -> Topology:
    """Return a topology whose instances have distinct addresses."""
    instances = tuple(
        msgspec.structs.replace(entry, http_port=8000 + at, internal_port=9000)
        for at, entry in enumerate(topology.instances)
    )
    return msgspec.structs.replace(topology, instances=instances)
