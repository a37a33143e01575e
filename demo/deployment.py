"""Runs all instances and stand-in targets of a deployment in one process.

All listeners are on free ports of the loopback interface, so that several
deployments can run on one machine.
"""

import asyncio
import contextlib
import pathlib
import socket
from typing import Self

import httpx
import msgspec

from cuminhoist.config_model import Allowances, Change, ChangeOutcome, Plans
from cuminhoist.node import Node
from cuminhoist.settings import Instance, Settings, Topology, load_struct

from .standins import StandinUpstreams

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
CLUSTER_KEY = 'demo-key'
POLL_S = 0.02
CHANGE_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 25.0
#: Shorter than the default, so that a planned stop ends in a short run.
LOOKUP_LIFETIME_S = 3.0


def free_ports(count: int) -> list[int]:
    """Return TCP ports that no process listens on.

    :param count: number of ports.
    """
    with contextlib.ExitStack() as stack:
        return [_bound_port(stack) for _ in range(count)]


def _bound_port(stack: contextlib.ExitStack) -> int:
    sock = stack.enter_context(socket.socket())
    sock.bind(('127.0.0.1', 0))
    return int(sock.getsockname()[1])


def on_free_ports(topology: Topology) -> Topology:
    """Return the topology with all listeners on free ports.

    :param topology: the topology as read from its file.
    """
    ports = iter(
        free_ports(2 * len(topology.instances) + len(topology.targets)),
    )
    replace = msgspec.structs.replace
    return replace(
        topology,
        instances=tuple(
            replace(
                instance,
                http_port=next(ports),
                internal_port=next(ports),
            )
            for instance in topology.instances
        ),
        targets=tuple(
            replace(target, port=next(ports)) for target in topology.targets
        ),
    )


class DeploymentConfig(msgspec.Struct, frozen=True):
    """Topology, plans and allowances of a deployment."""

    topology: Topology
    plans: Plans
    allowances: Allowances

    @classmethod
    def from_example(cls, name: str) -> Self:
        """Read the files of an example.

        :param name: name of the example's folder.
        """
        folder = EXAMPLES / name
        return cls(
            load_struct(folder / 'topology.json', Topology).unwrap(),
            load_struct(folder / 'plans.json', Plans).unwrap(),
            load_struct(folder / 'allowances.json', Allowances).unwrap(),
        )

    def with_deadline(self, deadline_ms: int) -> Self:
        """Return a copy in which all request kinds have one deadline limit.

        :param deadline_ms: the longest deadline of a request.
        """
        replace = msgspec.structs.replace
        services = tuple(
            replace(
                service,
                kinds=tuple(
                    replace(kind, max_deadline_ms=deadline_ms)
                    for kind in service.kinds
                ),
            )
            for service in self.topology.services
        )
        topology = replace(self.topology, services=services)
        return replace(self, topology=topology)


class LocalDeployment:
    """All instances and stand-in targets of a deployment.

    :param config: topology, plans and allowances to run.
    :param data_folder: folder in which each instance gets its data folder.
    """

    def __init__(
        self, config: DeploymentConfig, data_folder: pathlib.Path
    ) -> None:
        self.topology = on_free_ports(config.topology)
        self.plans = config.plans
        self.allowances = config.allowances
        self.upstreams = StandinUpstreams(self.topology.targets)
        self.nodes: dict[str, Node] = {}
        self._data_folder = data_folder

    async def start(self) -> None:
        """Start all parts and wait until all slots can be used.

        This forms the control cluster and applies the plans and allowances.
        """
        await self.upstreams.start()
        for instance in self.topology.instances:
            await self.start_node(instance)
        await self._init_control()
        await self.apply(Change(change_id='demo-plans', plans=self.plans))
        await self.apply(
            Change(change_id='demo-allowances', allowances=self.allowances),
        )
        await self._wait_ready()

    async def start_node(self, instance: Instance) -> Node:
        """Start one instance.

        :param instance: the instance as the topology lists it.
        """
        cfg = Settings.from_instance(
            instance,
            'topology.json',
            CLUSTER_KEY,
            str(self._data_folder / instance.name),
        )
        cfg = msgspec.structs.replace(cfg, lookup_lifetime_s=LOOKUP_LIFETIME_S)
        node = Node(cfg, self.topology)
        await node.start()
        self.nodes[instance.name] = node
        return node

    async def stop(self) -> None:
        """Kill all instances concurrently, then stop the targets."""
        await asyncio.gather(*(node.kill() for node in self.nodes.values()))
        await self.upstreams.stop()

    async def kill(self, name: str) -> None:
        """Stop an instance without draining it.

        :param name: name of the instance.
        """
        await self.nodes.pop(name).kill()

    async def apply(self, change: Change) -> ChangeOutcome:
        """Send a change to the control instances until it is decided.

        :param change: the change.
        """
        try:
            async with (
                httpx.AsyncClient(trust_env=False) as http,
                asyncio.timeout(CHANGE_TIMEOUT_S),
            ):
                return await self._apply(http, change)
        except TimeoutError as exc:
            raise TimeoutError(
                f'The change {change.change_id} was not decided within '
                f'{CHANGE_TIMEOUT_S:g} s.'
            ) from exc

    async def wait_in_force(self, version: int, timeout_s: float) -> list[str]:
        """Wait until a version is in force on all instances.

        Returns the names of the instances on which it is not.

        :param version: the version to wait for.
        :param timeout_s: longest time to wait, in seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while loop.time() < deadline:
            outdated = [
                name
                for name, node in self.nodes.items()
                if node.in_force.version < version
            ]
            if not outdated:
                return []
            await asyncio.sleep(POLL_S)
        return outdated

    async def _apply(
        self,
        http: httpx.AsyncClient,
        change: Change,
    ) -> ChangeOutcome:
        while True:
            for control in self.topology.control_instances():
                if control.name not in self.nodes:
                    continue
                outcome = await _send_change(http, control, change)
                if outcome is not None:
                    return outcome
            await asyncio.sleep(POLL_S)

    async def _wait_ready(self) -> None:
        # A new incarnation can't know which requests its predecessor left
        # running, so it quarantines its slots for the longest deadline.
        async with asyncio.timeout(READY_TIMEOUT_S):
            while self._usable_slots() < self._total_slots():
                await asyncio.sleep(POLL_S)

    def _usable_slots(self) -> int:
        return sum(
            node.entry.slot_table.usable_slots(service.name)
            for node in self.nodes.values()
            if node.entry is not None
            for service in self.topology.services
        )

    def _total_slots(self) -> int:
        return sum(target.slots for target in self.topology.targets)

    async def _init_control(self) -> None:
        founder = self.topology.control_instances()[0]
        async with httpx.AsyncClient(trust_env=False) as http:
            await http.post(f'{address_of(founder)}/v1/control/init')


def address_of(instance: Instance) -> str:
    """Return the HTTP address of an instance.

    :param instance: the instance.
    """
    return f'http://{instance.host}:{instance.http_port}'


async def _send_change(
    http: httpx.AsyncClient, control: Instance, change: Change
) -> ChangeOutcome | None:
    """Return the outcome of a change; None if it may be undecided."""
    try:
        reply = await http.post(
            f'{address_of(control)}/v1/control/changes',
            content=msgspec.json.encode(change),
            headers={'content-type': 'application/json'},
        )
    except httpx.TransportError:
        return None
    if reply.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        return None
    return msgspec.json.decode(reply.content, type=ChangeOutcome)
