"""An operator of an emulated cluster, who knows what was acknowledged."""

import asyncio
import random

import msgspec

from cuminhoist.codec import Message
from cuminhoist.register.declared_state import (
    DeclaredState,
    DrainDomain,
    ReplaceConfiguration,
)

from .builders import EmulatedCluster, configuration

DOMAINS = ('a', 'b')
#: Time that the deployment has after a loss, in seconds.
CATCH_UP_S = 6.0


class Operator:
    """Gives orders one after another and checks what is read.

    :param cluster: gets the orders.
    :param rng: draws the orders and the instances that get them.
    """

    def __init__(self, cluster: EmulatedCluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        #: The newest acknowledged state.
        self.acked = DeclaredState()
        #: Names of voters whose disks were lost.
        self.lost_names: set[str] = set()
        self._version = 0
        #: What each domain may be: as acknowledged, or as ordered since.
        self._possible = {domain: {False} for domain in DOMAINS}
        self._removed: set[str] = set()

    @property
    def hosts(self) -> list[str]:
        """Hosts of the machines that were not removed."""
        return [
            host for host in self.cluster.hosts if host not in self._removed
        ]

    def draw_order(self) -> Message:
        """Return the next configuration, or a drain or the end of one."""
        if self.rng.random() < 0.5:
            self._version += 1
            return configuration(self._version)
        return DrainDomain(
            domain=self.rng.choice(DOMAINS), drained=self.rng.random() < 0.5
        )

    async def give(self, order: Message) -> bool:
        """Give an order to a running instance; tell if it is acknowledged."""
        host = self.rng.choice(self.cluster.running_hosts)
        replica = self.cluster.machines[host].replica
        if isinstance(order, DrainDomain):
            self._possible[order.domain].add(order.drained)
            order = msgspec.structs.replace(order, seen=replica.known_index)
        state = await replica.submit(order)
        if state is None or not _is_in_force(order, state):
            return False
        if isinstance(order, DrainDomain):
            self._possible[order.domain] = {order.drained}
        if state.index > self.acked.index:
            self.acked = state
        return True

    async def give_until_acked(self, order: Message) -> float:
        """Give an order until it is acknowledged; return the time in s."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while not await self.give(order):
            assert loop.time() - began_at < 20, 'no order is decided any more'
            await asyncio.sleep(0.05)
        return loop.time() - began_at

    async def give_for(self, order: Message, limit_s: float) -> None:
        """Give an order and wait for a time at most."""
        task = asyncio.create_task(self.give(order))
        await asyncio.wait([task], timeout=limit_s)
        task.cancel()

    async def read_everywhere(self) -> list[DeclaredState]:
        """Read at all instances at once; check and return their answers."""
        acked = self.acked
        states = await asyncio.gather(
            *(
                self.cluster.machines[host].replica.read()
                for host in self.cluster.running_hosts
            )
        )
        answers = [state for state in states if state is not None]
        for state in answers:
            assert state.index >= acked.index
            assert state.version >= acked.version
            assert state.body == configuration(state.version).body or (
                not state.version
            )
            for domain, possible in self._possible.items():
                assert (domain in state.drained) in possible
        return answers

    async def restart_some(self) -> None:
        """Kill up to two processes during an order, and start them again."""
        hosts = self.rng.sample(self.hosts, self.rng.randint(1, 2))
        await self.give_for(self.draw_order(), self.rng.uniform(0.005, 0.4))
        await self.cluster.kill_all(hosts)
        await self.cluster.start_all(hosts, 1.5)

    async def restart_all(self) -> None:
        """Kill all processes during an order, and start them again."""
        await self.give_for(self.draw_order(), self.rng.uniform(0.005, 0.3))
        await self.cluster.kill_all(self.hosts)
        await self.cluster.start_all(self.hosts, 0.1)

    async def replace_machine(self) -> None:
        """Put a machine at another address in the place of one."""
        host = self.rng.choice(self.hosts)
        self.lost_names.add(self.cluster.machines[host].replica.name)
        self._removed.add(host)
        machine = self.cluster.machines[host]
        if self.rng.random() < 0.5:
            self.cluster.add_machine()
            await asyncio.sleep(CATCH_UP_S)
            await machine.stop()
        else:
            await machine.kill()
            await asyncio.sleep(self.rng.uniform(0, 2))
            self.cluster.add_machine()
        await asyncio.sleep(CATCH_UP_S)

    async def lose_power(self) -> None:
        """Lose two disks and the power of all others; start all again."""
        wiped = self.rng.sample(self.hosts, 2)
        self.lost_names |= {
            self.cluster.machines[host].replica.name for host in wiped
        }
        await self.cluster.lose_power(self.hosts, wiped)
        await self.cluster.start_all(self.hosts, 0.3)


def _is_in_force(order: Message, state: DeclaredState) -> bool:
    if isinstance(order, ReplaceConfiguration):
        return state.version >= order.version
    if isinstance(order, DrainDomain):
        return (order.domain in state.drained) == order.drained
    return False
