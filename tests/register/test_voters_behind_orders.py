"""Tests of changes of voters while operators keep giving orders.

They guard against machines that lost their disks and are not admitted in time.
The deployment has to bear the next loss after that, and the register decided
nothing any more, for ever.
"""

import asyncio
import contextlib

import pytest

from cuminhoist.fleet.control_links import PROPOSER_HEARTBEAT_VALID_S
from cuminhoist.register.declared_state import DrainDomain

from .builders import EmulatedCluster, configuration

pytestmark = [pytest.mark.looptime]

#: Time that a machine has after it is back, in seconds (``catch_up_s``).
CATCH_UP_S = 4.0
#: Time within which control recovers after all machines are back, in seconds.
RECOVER_S = 15.0
SEEDS = range(3)


class _Storm:
    """Orders and reads of operators that never pause.

    :param cluster: a formed cluster.
    :param pause_s: longest time between two orders, in seconds.
    :param reads: number of operators that read all the time.
    """

    def __init__(self, cluster, pause_s, reads):
        self.acked_version = 0
        self._cluster = cluster
        self._pause_s = pause_s
        self._version = 0
        self._tasks = [
            asyncio.create_task(self._give_orders()) for _ in range(8)
        ]
        self._tasks.extend(
            asyncio.create_task(self._read()) for _ in range(reads)
        )

    async def stop(self):
        """End it."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _draw_replica(self):
        host = self._cluster.rng.choice(self._cluster.running_hosts)
        return self._cluster.machines[host].replica

    async def _give_orders(self):
        rng = self._cluster.rng
        while True:
            await asyncio.sleep(rng.uniform(0, self._pause_s))
            replica = self._draw_replica()
            if rng.random() < 0.5:
                drain = DrainDomain(domain='a', drained=rng.random() < 0.5)
                await replica.submit(drain)
                continue
            self._version += 1
            version = self._version
            state = await replica.submit(configuration(version))
            if state is not None and state.version >= version:
                self.acked_version = max(self.acked_version, version)

    async def _read(self):
        while True:
            await asyncio.sleep(0.02)
            acked_version = self.acked_version
            state = await self._draw_replica().read()
            assert state is None or state.version >= acked_version


async def _form(tmp_path, seed):
    cluster = EmulatedCluster(tmp_path, 6, seed)
    cluster.tolerated_losses = 2
    cluster.proposer_known_for_s = PROPOSER_HEARTBEAT_VALID_S
    await cluster.form()
    await asyncio.sleep(CATCH_UP_S)
    return cluster


async def _lose_disks(cluster, hosts):
    for host in hosts:
        await cluster.machines[host].wipe()
    for host in hosts:
        cluster.machines[host].start(first_start=False)


async def _check_recovery(cluster, acked_version):
    await asyncio.sleep(RECOVER_S)
    for host in cluster.running_hosts:
        state = await cluster.machines[host].replica.read()
        assert state is not None
        assert state.version >= acked_version
    replica = cluster.machines[cluster.running_hosts[0]].replica
    order = configuration(cluster.newest_state().version + 1)
    assert await replica.submit(order) is not None
    assert cluster.voting_hosts == cluster.running_hosts


@pytest.mark.parametrize('reads', [0, 6])
@pytest.mark.parametrize('pause_s', [0.01, 0.1, 0.6])
@pytest.mark.parametrize('seed', SEEDS)
async def test_disks_are_lost_twice_while_orders_arrive(
    tmp_path, seed, pause_s, reads
):
    """Guards against a change of voters that orders or reads hold up."""
    cluster = await _form(tmp_path, seed)
    storm = _Storm(cluster, pause_s, reads)
    hosts = cluster.rng.sample(cluster.hosts, 4)
    await _lose_disks(cluster, hosts[:2])
    await asyncio.sleep(CATCH_UP_S)
    await _lose_disks(cluster, hosts[2:])
    await storm.stop()
    await _check_recovery(cluster, storm.acked_version)


@pytest.mark.parametrize('pause_s', [0.01, 0.6])
@pytest.mark.parametrize('seed', SEEDS)
async def test_machines_are_replaced_after_lost_disks(tmp_path, seed, pause_s):
    """Guards against voters that count twice while orders arrive.

    Two machines lose their disks; two others are then replaced at once.
    """
    cluster = await _form(tmp_path, seed)
    storm = _Storm(cluster, pause_s, reads=2)
    hosts = cluster.rng.sample(cluster.hosts, 4)
    await _lose_disks(cluster, hosts[:2])
    await asyncio.sleep(CATCH_UP_S)
    for host in hosts[2:]:
        await cluster.machines[host].wipe()
    await asyncio.sleep(1)
    cluster.add_machine()
    cluster.add_machine()
    await asyncio.sleep(CATCH_UP_S)
    await storm.stop()
    await _check_recovery(cluster, storm.acked_version)


@pytest.mark.parametrize('seed', range(6))
async def test_proposer_ends_in_a_joint_configuration(tmp_path, seed):
    """Guards against a change of voters that is never finished.

    The active proposer ends once its joint configuration is chosen. No order
    arrives after that.
    """
    cluster = await _form(tmp_path, seed)
    lost = cluster.rng.choice(cluster.hosts[1:])
    await _lose_disks(cluster, [lost])
    proposer = cluster.machines[cluster.hosts[0]]
    while not _accepted_joint(cluster):
        await asyncio.sleep(0.005)
    await proposer.kill()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CATCH_UP_S):
            while not _is_settled(cluster, lost):
                await asyncio.sleep(0.1)
    assert _is_settled(cluster, lost)


def _accepted_joint(cluster):
    joint = sum(
        not state.voters_settled
        for state in (
            machine.acceptor.accepted.state
            for machine in cluster.machines.values()
        )
        if state is not None
    )
    return joint > len(cluster.machines) // 2


def _is_settled(cluster, host):
    replica = cluster.machines[host].replica
    state = replica.latest_chosen
    return state is not None and state.voters_settled and replica.is_voter
