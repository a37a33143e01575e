"""Instances with their deliveries on a fake network."""

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
    """Instances with their deliveries on one fake network."""

    def __init__(self, topology=None, hold_s=2.0):
        self.topology = topology or grid_topology(3, 4)
        self.clock = builders.LoopClock(offset_s=1000)
        self.net = FakeNetwork()
        names = tuple(entry.name for entry in self.topology.control_instances())
        self.cluster = MemoryCluster(names, self.clock)
        self.hold_s = hold_s
        self.nodes = {}
        self.tasks = {}
        self.versions = {}
        self.made = 0

    def start(self, *names):
        for name in names or [ins.name for ins in self.topology.instances]:
            in_force = ConfigInForce()
            seen = self.versions[name] = []
            in_force.subscribe(lambda cfg, seen=seen: seen.append(cfg.version))
            node = ConfigDelivery(
                name,
                self.topology,
                in_force,
                FakeTransport(name, self.net),
                self.clock,
                self.cluster.logs.get(name),
                ConfigDeliveryOptions(self.hold_s),
            )
            self.nodes[name] = node
            self.tasks[name] = asyncio.create_task(node.run())

    async def kill(self, *names):
        for name in names:
            self.net.transports.pop(name, None)
            self.tasks[name].cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.tasks.pop(name)

    async def close(self):
        await self.kill(*list(self.tasks))
        for seen in self.versions.values():
            assert seen == sorted(set(seen)), 'a version went back'

    async def change(self, count=1):
        for _ in range(count):
            self.made += 1
            base = self.cluster.state.config.plans_version
            plans = builders.plans_change(f'c{self.made}', base, self.made)
            assert (await self.cluster.change(plans)).version == self.made

    def version(self, name):
        return self.nodes[name].store.in_force.version

    def currency(self, name):
        return self.nodes[name].currency()

    def at_level(self, level):
        node = next(iter(self.nodes.values()))
        live = frozenset(self.nodes)
        return [
            name
            for name in sorted(self.nodes)
            if node._tree.level(name, live) == level
        ]

    def cut_domain(self, domain):
        self.net.is_cut = lambda one, two: (
            one.startswith(domain) != two.startswith(domain)
        )

    async def settle(self, *names):
        while any(self.version(name) < self.made for name in names):
            await asyncio.sleep(0.05)
