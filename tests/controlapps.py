"""Runs the operators' interfaces of a small deployment in one process."""

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

    Instances without a control replica apply each committed version at once.

    :param operator_token: token that all instances ask for; empty for none.
    :param per_domain: instances per failure domain.
    """

    def __init__(
        self,
        operator_token: str = '',
        per_domain: int = 2,
    ) -> None:
        self.topology = with_distinct_ports(
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
            control_log = self.cluster.logs.get(instance.name)
            delivery = ConfigDelivery(
                instance.name,
                self.topology,
                in_force,
                transport,
                clock,
                control_log,
            )
            if control_log is None:
                first_log = self.cluster.logs[names[0]]
                first_log.on_commit(delivery.store.apply_committed)
            accounts = FixedAccounts(instance.name)
            self.accounts[instance.name] = accounts
            dependencies = OperatorApiDependencies(
                cfg=msgspec.structs.replace(cfg, operator_token=operator_token),
                topology=self.topology,
                incarnation=f'{instance.name}-i',
                in_force=in_force,
                delivery=delivery,
                transport=transport,
                control_log=control_log,
                accounts=accounts,
            )
            control = OperatorApi(dependencies)
            self.controls[instance.name] = control
            self.stores[instance.name] = delivery.store
            self.apps[instance.name] = Litestar(
                operator_handlers(control),
                openapi_config=None,
                exception_handlers=exception_handlers(),
            )

    def url(self, name: str) -> str:
        """Return the HTTP address of an instance."""
        return address_of(self.topology.instance(name))

    def client(
        self,
        name: str,
        wrap: Callable[
            [httpx.AsyncBaseTransport], httpx.AsyncBaseTransport
        ] = lambda inner: inner,
        token: str = '',
    ) -> OperatorClient:
        """Return a client of an instance that can reach all instances.

        :param name: name of the instance.
        :param wrap: wraps the transport to each instance, to inject faults.
        :param token: operator token; empty for none.
        """
        mounts = {
            self.url(instance): wrap(httpx.ASGITransport(app))
            for instance, app in self.apps.items()
        }
        headers = {'authorization': f'Bearer {token}'} if token else {}
        http = httpx.AsyncClient(mounts=mounts, headers=headers)
        return OperatorClient(http, self.url(name), pause_s=0)


class FixedAccounts(AccountSource):
    """Fixed accounts: one line, and one request and one ticket open.

    :param instance: name of the instance.
    """

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


def with_distinct_ports(topology: Topology) -> Topology:
    """Return a topology in which each instance has its own HTTP port."""
    instances = tuple(
        msgspec.structs.replace(
            instance, http_port=8000 + index, internal_port=9000
        )
        for index, instance in enumerate(topology.instances)
    )
    return msgspec.structs.replace(topology, instances=instances)
