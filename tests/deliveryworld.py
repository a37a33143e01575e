"""A deployment with configuration delivery over a fake network."""

import asyncio
import contextlib

from cuminhoist.config_delivery import ConfigDelivery, ConfigDeliveryOptions
from cuminhoist.config_in_force import ConfigInForce

from . import builders
from .builders_delivery import (
    FakeNetwork,
    FakeTransport,
    MemoryCluster,
    grid_topology,
)


class World:
    """Runs the configuration delivery of many instances in one event loop."""

    def __init__(self, topology=None, hold_s=2.0):
        self.topology = topology or grid_topology(3, 4)
        self.clock = builders.LoopClock(offset_s=1000)
        self.network = FakeNetwork()
        names = tuple(entry.name for entry in self.topology.control_instances())
        self.cluster = MemoryCluster(names, self.clock)
        self.hold_s = hold_s
        self.nodes = {}
        self.tasks = {}
        self.versions = {}
        self.change_count = 0

    def start(self, *names):
        for name in names or [
            instance.name for instance in self.topology.instances
        ]:
            in_force = ConfigInForce()
            versions = self.versions[name] = []
            in_force.subscribe(
                lambda cfg, versions=versions: versions.append(cfg.version)
            )
            node = ConfigDelivery(
                name,
                self.topology,
                in_force,
                FakeTransport(name, self.network),
                self.clock,
                self.cluster.logs.get(name),
                ConfigDeliveryOptions(self.hold_s),
            )
            self.nodes[name] = node
            self.tasks[name] = asyncio.create_task(node.run())

    async def kill(self, *names):
        for name in names:
            self.network.transports.pop(name, None)
            self.tasks[name].cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.tasks.pop(name)

    async def close(self):
        await self.kill(*list(self.tasks))
        for versions in self.versions.values():
            assert versions == sorted(set(versions)), 'a version decreased'

    async def change(self, count=1):
        for _ in range(count):
            self.change_count += 1
            base = self.cluster.state.config.plans_version
            plans = builders.plans_change(
                f'c{self.change_count}', base, self.change_count
            )
            assert (
                await self.cluster.change(plans)
            ).version == self.change_count

    def version(self, name):
        return self.nodes[name].store.in_force.version

    def currency(self, name):
        return self.nodes[name].currency()

    def names_at_level(self, level):
        node = next(iter(self.nodes.values()))
        live = frozenset(self.nodes)
        return [
            name
            for name in sorted(self.nodes)
            if node._tree.level(name, live) == level
        ]

    def cut_domain(self, domain):
        self.network.is_cut = lambda sender, receiver: (
            sender.startswith(domain) != receiver.startswith(domain)
        )

    async def wait_until_current(self, *names):
        while any(self.version(name) < self.change_count for name in names):
            await asyncio.sleep(0.05)
