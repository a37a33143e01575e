"""Tests of the register while disks are full, one after the other.

They guard against orders that are refused or stay unanswered once all disks
have room again, although all processes run.
"""

import asyncio
import random

import pytest

from .builders import EmulatedCluster, configuration

pytestmark = [pytest.mark.looptime]

#: Time within which operators get an acknowledgement, in seconds.
ACK_LIMIT_S = 4.0
FULL_S = 3.0


class Operator:
    """Sends configurations until they are acknowledged.

    :param cluster: the register.
    """

    def __init__(self, cluster: EmulatedCluster) -> None:
        self.version = 0
        self._cluster = cluster

    async def order(self) -> None:
        """Have the next configuration acknowledged in time."""
        self.version += 1
        async with asyncio.timeout(ACK_LIMIT_S):
            while not await self._submit():
                await asyncio.sleep(0.1)

    async def _submit(self) -> bool:
        host = self._cluster.rng.choice(self._cluster.running_hosts)
        replica = self._cluster.machines[host].replica
        try:
            async with asyncio.timeout(1):
                state = await replica.submit(configuration(self.version))
        except TimeoutError:
            return False
        return state is not None and state.version >= self.version


@pytest.mark.parametrize('seed', range(6))
async def test_disks_are_full_in_turn(tmp_path, seed):
    """Guards against an instance that a full disk excludes for good.

    Some processes restart, and some disks are lost, while a disk is full.
    """
    rng = random.Random(seed)
    cluster = EmulatedCluster(tmp_path, 6, seed)
    await cluster.form()
    await asyncio.sleep(5)
    operator = Operator(cluster)
    hosts = cluster.hosts * 2
    rng.shuffle(hosts)
    for host in hosts:
        machine = cluster.machines[host]
        machine.disk.is_full = True
        event = rng.choice(['', '', 'restart', 'lost disk'])
        if event:
            await (machine.wipe() if event == 'lost disk' else machine.kill())
            machine.start(first_start=False)
        for _ in range(4):
            await operator.order()
            await asyncio.sleep(FULL_S / 4)
        machine.disk.is_full = False
        await asyncio.sleep(rng.uniform(0.1, 2))
    await asyncio.sleep(10)
    for machine in cluster.machines.values():
        assert (await machine.replica.read()).version == operator.version
        assert machine.replica.is_voter
    for _ in range(10):
        await operator.order()
