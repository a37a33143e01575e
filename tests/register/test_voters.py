"""Tests of the voters under series of replacements, cuts and lost disks.

They guard against voters that have left for good and still count for a
majority, and against a machine that is only silent and is taken for gone.
"""

import asyncio

import pytest

from cuminhoist.fleet.control_links import PROPOSER_HEARTBEAT_VALID_S
from cuminhoist.fleet.instance_config import Address
from cuminhoist.register.declared_state import DeclaredState, Voter
from cuminhoist.register.voters import VoterWatch

from .builders import EmulatedCluster, configuration

pytestmark = [pytest.mark.looptime]

#: Time that the deployment has after a loss before it must bear another, in
#: seconds.
CATCH_UP_S = 6
SEEDS = range(6)


async def _lose_disks(cluster, hosts):
    for host in hosts:
        await cluster.machines[host].wipe()
    for host in hosts:
        cluster.machines[host].start(first_start=False)


async def _check_control(cluster, version):
    """Check that what was acknowledged stays and that orders are decided."""
    await asyncio.sleep(CATCH_UP_S)
    for host in cluster.running_hosts:
        state = await cluster.machines[host].replica.read()
        assert state is not None
        assert state.version == version
    replica = cluster.machines[cluster.running_hosts[0]].replica
    assert (await replica.submit(configuration(version + 1))) is not None


async def test_disks_are_lost_after_planned_replacements(tmp_path):
    """Guards against a majority of voters of which some are gone for good.

    Two machines are replaced, each by a new one that starts first. With the
    old ones there were eight voters, and after two lost disks four of them
    were left, one too few for any ballot.
    """
    cluster = EmulatedCluster(tmp_path, 6, 1)
    await cluster.form()
    replica = cluster.machines[cluster.hosts[5]].replica
    assert await replica.submit(configuration(1))
    cluster.add_machine()
    cluster.add_machine()
    await asyncio.sleep(CATCH_UP_S)
    for host in cluster.hosts[:2]:
        await cluster.machines[host].wipe()
    await asyncio.sleep(CATCH_UP_S)
    assert cluster.voting_hosts == cluster.running_hosts
    await _lose_disks(cluster, cluster.hosts[2:4])
    await _check_control(cluster, 1)
    assert cluster.voting_hosts == cluster.running_hosts


#: Time after its start in which a new machine counts as lost, in seconds
#: (``catch_up_s`` of the deployments).
NEW_MACHINE_S = 4.0
#: Time after a sudden loss in which another machine takes the place.
SUCCESSOR_AFTER_S = 1.0
#: Time within which operators get an acknowledgement, in seconds.
ACK_LIMIT_S = 4.0


@pytest.mark.parametrize('seed', SEEDS)
async def test_disks_are_lost_right_after_planned_replacements(tmp_path, seed):
    """Guards against voters that have stopped and still count for a while.

    A machine that was removed counts as lost no longer once its successor has
    had its time, so that two disks may be lost as soon as it has stopped.
    """
    cluster = EmulatedCluster(tmp_path, 6, seed)
    await cluster.form()
    await asyncio.sleep(CATCH_UP_S)
    cluster.add_machine()
    cluster.add_machine()
    await asyncio.sleep(NEW_MACHINE_S)
    hosts = cluster.rng.sample(cluster.hosts[:6], 4)
    replica = cluster.machines[cluster.hosts[7]].replica
    await asyncio.gather(*(cluster.machines[host].stop() for host in hosts[:2]))
    assert await replica.submit(configuration(1))
    await _lose_disks(cluster, hosts[2:])
    await _check_control(cluster, 1)


@pytest.mark.parametrize('seed', SEEDS)
async def test_disks_are_lost_right_after_sudden_replacements(tmp_path, seed):
    """Guards against voters that are gone and still count for too long.

    The loss of two machines is borne once their successors have had their
    time; the active proposer may be one of them.
    """
    cluster = EmulatedCluster(tmp_path, 6, seed)
    cluster.proposer_known_for_s = PROPOSER_HEARTBEAT_VALID_S
    await cluster.form()
    await asyncio.sleep(CATCH_UP_S)
    others = cluster.rng.sample(cluster.hosts[1:6], 3)
    for host in (cluster.hosts[0], others[0]):
        await cluster.machines[host].wipe()
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    cluster.add_machine()
    replica = cluster.add_machine().replica
    await asyncio.sleep(NEW_MACHINE_S)
    assert await replica.submit(configuration(1))
    await _lose_disks(cluster, others[1:])
    await _check_control(cluster, 1)


async def test_late_requests_to_join_do_not_count():
    """Guards against a voter that is long gone, after a standstill.

    Its request to join lay in a socket while the proposer stood still.
    """
    names = ('a', 'b', 'c', 'd')
    own, *others = (Voter(name, Address(name, 1)) for name in names)
    known = DeclaredState(
        voters=(own, *others[:2]), former=(own, *others[:2]), founding_size=3
    )
    watch = VoterWatch(own, lambda _name: 0, frozenset, 1)
    watch.record_join(others[2], now=10)
    assert watch.next_voters(known, now=10.1) == (own, *others)
    watch.restart(now=10.2)
    assert watch.next_voters(known, now=10.3) == known.voters


@pytest.mark.parametrize('is_frozen', [True, False])
async def test_silent_machine_keeps_its_place(tmp_path, is_frozen):
    """Guards against a machine that is taken for gone without a successor.

    It is frozen or cut off for long, and the voters would then be fewer than
    the machines of the deployment.
    """
    cluster = EmulatedCluster(tmp_path, 6, 2)
    await cluster.form()
    await asyncio.sleep(CATCH_UP_S)
    before = cluster.newest_state()
    if is_frozen:
        cluster.freeze(cluster.hosts[3])
    else:
        cluster.isolate(cluster.hosts[3])
    await asyncio.sleep(60)
    assert cluster.newest_state() == before


async def test_returning_machine_gets_its_place_again(tmp_path):
    """Guards against a machine that stays out after it was cut off.

    With a seventh machine the deployment does not need it for as many voters
    as it was founded with, so it was dropped.
    """
    cluster = EmulatedCluster(tmp_path, 6, 3)
    await cluster.form()
    cluster.add_machine()
    await asyncio.sleep(CATCH_UP_S)
    name = cluster.machines[cluster.hosts[2]].replica.name
    cluster.isolate(cluster.hosts[2])
    await asyncio.sleep(10)
    assert len(cluster.newest_state().voters) == 6
    cluster.cut_links.clear()
    await asyncio.sleep(CATCH_UP_S)
    voters = cluster.newest_state().voters
    assert len(voters) == 7
    assert name in {voter.name for voter in voters}


async def test_restarts_in_turn_change_no_voters(tmp_path):
    """Guards against voters that change with each restart of a process."""
    cluster = EmulatedCluster(tmp_path, 6, 4)
    await cluster.form()
    await asyncio.sleep(CATCH_UP_S)
    before = cluster.newest_state()
    for machine in cluster.machines.values():
        await machine.kill()
        await asyncio.sleep(2)
        machine.start(first_start=False)
        await asyncio.sleep(2)
    assert cluster.newest_state() == before


@pytest.mark.parametrize('seed', SEEDS)
async def test_planned_restarts_in_turn_with_machines_to_spare(tmp_path, seed):
    """Guards against orders that no quorum takes while voters come and go.

    Each machine that stops is dropped, as the others are enough, and joins
    again.
    """
    cluster = EmulatedCluster(tmp_path, 6, seed)
    await cluster.form()
    cluster.add_machine()
    cluster.add_machine()
    await asyncio.sleep(CATCH_UP_S)
    version = 0
    for machine in cluster.machines.values():
        await machine.stop()
        machine.start(first_start=False)
        await asyncio.sleep(cluster.rng.uniform(0.2, 2))
        version += 1
        replica = cluster.machines[cluster.running_hosts[0]].replica
        async with asyncio.timeout(ACK_LIMIT_S):
            while await replica.submit(configuration(version)) is None:
                await asyncio.sleep(0.1)
    await _check_control(cluster, version)
    assert cluster.voting_hosts == cluster.running_hosts


class _Series:
    """Draws disruptions that the deployment has to bear, one after another.

    :param cluster: a formed cluster.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self.version = 0

    async def disrupt(self):
        """Disrupt one or two machines at once and let them catch up."""
        cluster, rng = self._cluster, self._cluster.rng
        hosts = rng.sample(cluster.running_hosts, rng.choice((1, 1, 2)))
        draw = rng.choice
        await asyncio.gather(
            *(draw(self._DISRUPTIONS)(self, host) for host in hosts)
        )
        await asyncio.sleep(CATCH_UP_S)

    async def submit_versions(self):
        """Submit one version after the other, at any machine."""
        rng = self._cluster.rng
        while True:
            await asyncio.sleep(rng.uniform(0, 3))
            host = rng.choice(self._cluster.running_hosts)
            order = configuration(self.version + 1)
            state = await self._cluster.machines[host].replica.submit(order)
            if state is not None and state.version > self.version:
                self.version = state.version

    async def _replace_as_planned(self, host):
        self._cluster.add_machine()
        await asyncio.sleep(self._cluster.rng.uniform(1, 9))
        await self._cluster.machines[host].wipe()

    async def _replace_suddenly(self, host):
        await self._cluster.machines[host].wipe()
        await asyncio.sleep(self._cluster.rng.uniform(0, 9))
        self._cluster.add_machine()

    async def _cut(self, host):
        self._cluster.isolate(host)
        await asyncio.sleep(self._cluster.rng.uniform(1, 20))
        self._cluster.cut_links = {
            link for link in self._cluster.cut_links if host not in link
        }

    async def _freeze(self, host):
        self._cluster.freeze(host)
        await asyncio.sleep(self._cluster.rng.uniform(1, 20))
        self._cluster.unfreeze(host)

    async def _lose_disk(self, host):
        await _lose_disks(self._cluster, [host])

    async def _restart(self, host):
        await self._cluster.machines[host].kill()
        await asyncio.sleep(self._cluster.rng.uniform(0, 4))
        self._cluster.machines[host].start(first_start=False)

    _DISRUPTIONS = (
        _replace_as_planned,
        _replace_suddenly,
        _cut,
        _freeze,
        _lose_disk,
        _restart,
    )


@pytest.mark.parametrize('seed', SEEDS)
async def test_series_of_disruptions(tmp_path, seed):
    """Guards against voters that are gone, and against lost orders.

    After any series the voters are the machines that are there, and the
    loss of two disks leaves a majority.
    """
    cluster = EmulatedCluster(tmp_path, 6, seed)
    await cluster.form()
    series = _Series(cluster)
    submissions = asyncio.create_task(series.submit_versions())
    for _ in range(8):
        await series.disrupt()
        acknowledged = series.version
        state = await cluster.machines[cluster.running_hosts[0]].replica.read()
        assert state is not None
        assert state.version >= acknowledged
    submissions.cancel()
    await asyncio.sleep(CATCH_UP_S)
    assert cluster.voting_hosts == cluster.running_hosts
    version = cluster.newest_state().version
    await _lose_disks(cluster, cluster.rng.sample(cluster.running_hosts, 2))
    await _check_control(cluster, version)
    assert cluster.voting_hosts == cluster.running_hosts
