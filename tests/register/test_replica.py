"""Tests of the register under kills, lost disks, cut links and competition.

They guard against acknowledged orders that are lost or read back older, and
against two states for one version, which come about when voters forget
promises or when proposers compete.
"""

import asyncio

import pytest

from cuminhoist.fleet.instance_config import Address
from cuminhoist.register.declared_state import DrainDomain, Voter
from cuminhoist.register.replica import START_GRACE_S
from cuminhoist.register.voters import MAX_VOTERS, next_voters

from .builders import EmulatedCluster, configuration

pytestmark = [pytest.mark.looptime]


async def test_all_instances_get_a_vote(tmp_path):
    """Guards against instances that are no seeds and never become voters."""
    cluster = EmulatedCluster(tmp_path, 6, 1)
    await cluster.form()
    machine = cluster.machines[cluster.hosts[5]]
    assert len(machine.replica.latest_chosen.voters) == 6
    assert machine.replica.latest_chosen.voters_settled


async def test_more_instances_than_voters_change_nothing(tmp_path):
    """Guards against voters that are replaced although all of them run.

    Instances beyond the limit ask to join all the time. The proposer counted
    itself as silent, as it gets no heartbeats of its own, and gave its place
    to one of them. Each change of voters delayed the orders of operators.
    """
    cluster = EmulatedCluster(tmp_path, MAX_VOTERS + 3, 1)
    for machine in cluster.machines.values():
        machine.start(first_start=True)
    await asyncio.sleep(START_GRACE_S + 4)
    replica = cluster.machines[cluster.hosts[0]].replica
    settled = replica.latest_chosen
    assert len(settled.voters) == MAX_VOTERS
    await asyncio.sleep(20)
    assert replica.latest_chosen == settled


async def test_acknowledged_is_read_everywhere(tmp_path):
    """Guards against a read that misses an acknowledged order."""
    cluster = EmulatedCluster(tmp_path, 6, 2)
    await cluster.form()
    replica = cluster.machines[cluster.hosts[4]].replica
    assert (await replica.submit(configuration(7))).version == 7
    for machine in cluster.machines.values():
        assert (await machine.replica.read()).version == 7


async def test_other_content_of_a_version_is_never_in_force(tmp_path):
    """Guards against two configurations under one version.

    Two instances submit different contents of a version at once.
    """
    cluster = EmulatedCluster(tmp_path, 6, 3)
    await cluster.form()
    replica = cluster.machines[cluster.hosts[1]].replica
    other_replica = cluster.machines[cluster.hosts[4]].replica
    await asyncio.gather(
        replica.submit(configuration(7, 'a')),
        other_replica.submit(configuration(7, 'b')),
    )
    bodies = {
        (await machine.replica.read()).body
        for machine in cluster.machines.values()
    }
    assert len(bodies) == 1
    learned_bodies = {
        state.body
        for machine in cluster.machines.values()
        for states in machine.learned_states
        for state in states
        if state.version == 7
    }
    assert learned_bodies == bodies


async def test_two_lost_disks_lose_nothing(tmp_path):
    """Guards against a voter that lost its promises with its disk.

    With its old name it could help to choose a state without the
    acknowledged order.
    """
    cluster = EmulatedCluster(tmp_path, 6, 4)
    await cluster.form()
    order = configuration(9)
    assert await cluster.machines[cluster.hosts[0]].replica.submit(order)
    for machine in cluster.machines.values():
        await machine.kill()
    for host in cluster.hosts[:2]:
        await cluster.machines[host].wipe()
    for machine in cluster.machines.values():
        machine.start(first_start=False)
    await cluster.wait_for_votes()
    for machine in cluster.machines.values():
        state = await machine.replica.read()
        assert state is not None
        assert state.version == 9
        assert len(state.voters) == 6


async def test_proposer_that_dies_after_its_acknowledgement(tmp_path):
    """Guards against a chosen state that the other instances never learn.

    The proposer fails after it acknowledged the order and before it
    announced the state.
    """
    cluster = EmulatedCluster(tmp_path, 6, 5)
    await cluster.form()
    machine = cluster.machines[cluster.hosts[0]]
    machine.broadcast = lambda msg: None
    assert await machine.replica.submit(configuration(9))
    await machine.kill()
    await asyncio.sleep(5)
    for host in cluster.hosts[1:]:
        assert cluster.machines[host].replica.latest_chosen.version == 9


async def test_minority_accepts_and_reads_nothing(tmp_path):
    """Guards against an isolated instance that acknowledges or reads."""
    cluster = EmulatedCluster(tmp_path, 6, 6)
    await cluster.form()
    isolated = cluster.hosts[2]
    for host in cluster.hosts:
        cluster.disconnect(isolated, host)
    replica = cluster.machines[isolated].replica
    assert await replica.submit(configuration(5)) is None
    assert await replica.read() is None


async def test_orders_after_a_split_heals(tmp_path):
    """Guards against proposers that refuse each other's ballots for seconds."""
    cluster = EmulatedCluster(tmp_path, 6, 7)
    await cluster.form()
    halves = cluster.hosts[::2], cluster.hosts[1::2]
    for host in halves[0]:
        for other in halves[1]:
            cluster.disconnect(host, other)
    submissions = [
        asyncio.create_task(machine.replica.submit(configuration(5 + number)))
        for number, machine in enumerate(cluster.machines.values())
    ]
    await asyncio.sleep(6)
    cluster.cut_links.clear()
    await asyncio.gather(*submissions)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    states = await asyncio.gather(
        *(
            machine.replica.submit(configuration(20 + number))
            for number, machine in enumerate(cluster.machines.values())
        ),
    )
    assert all(state is not None for state in states)
    # Operators try another instance after one second.
    assert loop.time() - started_at < 1


async def test_drain_is_read_back_after_a_power_loss(tmp_path):
    """Guards against drains that are not stored on disk."""
    cluster = EmulatedCluster(tmp_path, 6, 8)
    await cluster.form()
    order = DrainDomain(domain='a', drained=True)
    assert await cluster.machines[cluster.hosts[3]].replica.submit(order)
    for machine in cluster.machines.values():
        await machine.kill()
    for machine in cluster.machines.values():
        machine.start(first_start=False)
    await asyncio.sleep(3)
    for machine in cluster.machines.values():
        assert (await machine.replica.read()).drained == {'a'}


async def test_replacement_at_another_address_gets_the_place(tmp_path):
    """Guards against a quorum that grows with each replaced instance."""
    cluster = EmulatedCluster(tmp_path, 7, 9)
    spare = cluster.machines[cluster.hosts[6]]
    for host in cluster.hosts[:6]:
        cluster.machines[host].start(first_start=True)
    await cluster.wait_for_votes()
    await asyncio.sleep(8)
    await cluster.machines[cluster.hosts[1]].wipe()
    await asyncio.sleep(4)
    spare.start(first_start=False)
    await cluster.wait_for_votes()
    await asyncio.sleep(2)
    voters = {
        voter.address.host for voter in spare.replica.latest_chosen.voters
    }
    assert len(voters) == 6
    assert spare.host in voters
    assert cluster.hosts[1] not in voters


async def test_full_disk_acknowledges_nothing_it_does_not_hold(tmp_path):
    """Guards against an acknowledgement without a quorum of disk writes."""
    cluster = EmulatedCluster(tmp_path, 6, 10)
    await cluster.form()
    for host in cluster.hosts[:3]:
        cluster.machines[host].disk.is_full = True
    replica = cluster.machines[cluster.hosts[5]].replica
    assert await replica.submit(configuration(5)) is None
    cluster.machines[cluster.hosts[0]].disk.is_full = False
    assert (await replica.submit(configuration(6))).version == 6


@pytest.mark.parametrize('seed', range(24))
async def test_random_faults_lose_nothing(tmp_path, seed):
    """Guards against lost, repeated or older states under random faults."""
    cluster = EmulatedCluster(tmp_path, 6, seed)
    await cluster.form()
    acknowledged = 0
    for version in range(1, 40):
        await _inject_fault(cluster)
        replica = cluster.machines[cluster.rng.choice(cluster.hosts)].replica
        if replica is not None:
            state = await replica.submit(configuration(version))
            if state is not None and state.version >= version:
                acknowledged = max(acknowledged, version)
        reader = cluster.machines[cluster.rng.choice(cluster.hosts)].replica
        if reader is not None:
            state = await reader.read()
            assert state is None or state.version >= acknowledged
    await _end_faults(cluster)
    for machine in cluster.machines.values():
        state = await machine.replica.read()
        assert state is not None
        assert state.version >= acknowledged
        for states in machine.learned_states:
            indexes = [learned.index for learned in states]
            assert indexes == sorted(set(indexes))


async def _inject_fault(cluster):
    rng = cluster.rng
    fault = rng.random()
    host = rng.choice(cluster.hosts)
    machine = cluster.machines[host]
    cluster.loss_fraction = rng.choice((0, 0, 0.05))
    down_count = sum(
        other.replica is None for other in cluster.machines.values()
    )
    if fault < 0.2 and machine.replica is not None and down_count < 2:
        # At most two disks may be lost until their instances are voters again.
        wipe_disk = (
            rng.random() < 0.4 and len(cluster.lost_disks() | {host}) <= 2
        )
        await (machine.wipe() if wipe_disk else machine.kill())
    elif fault < 0.4:
        cluster.loss_fraction = 0
        _start_all(cluster)
        await cluster.wait_for_votes()
    elif fault < 0.5:
        cluster.disconnect(host, rng.choice(cluster.hosts))
    elif fault < 0.7:
        cluster.cut_links.clear()


async def _end_faults(cluster):
    cluster.cut_links.clear()
    cluster.loss_fraction = 0
    _start_all(cluster)
    await cluster.wait_for_votes()
    await asyncio.sleep(3)


def _start_all(cluster):
    for machine in cluster.machines.values():
        if machine.replica is None:
            machine.start(first_start=False)


def _voter(name: str) -> Voter:
    return Voter(name, Address(name.partition('#')[0], 1))


def test_emptied_disk_takes_its_own_place():
    """Guards against an instance with two votes after a lost disk."""
    voters = tuple(_voter(name) for name in 'abcdef')
    updated = next_voters(voters, [_voter('b#1')], [_voter('c')])
    assert {voter.name for voter in updated} == {'a', 'b#1', 'c', 'd', 'e', 'f'}


def test_voters_are_bounded():
    """Guards against a number of voters without limit."""
    voters = tuple(_voter(f'v{number}') for number in range(MAX_VOTERS))
    assert next_voters(voters, [_voter('w')], []) == voters


async def _active_replica(cluster):
    """Return the replica that proposes all orders."""
    for machine in cluster.machines.values():
        replica = machine.replica
        if replica._find_active_proposer() == replica._own_voter:
            return replica
    raise AssertionError('no instance proposes')


async def test_order_that_cannot_be_stored_fails_alone(tmp_path):
    """Guards against the end of all control by one order.

    No message and no file holds a version of more than 64 bits; the error
    ended the task that proposes all orders.
    """
    cluster = EmulatedCluster(tmp_path, 3, 5)
    await cluster.form()
    replica = await _active_replica(cluster)
    outcomes = asyncio.gather(
        replica.submit(DrainDomain(domain='a', drained=True)),
        replica.submit(configuration(2**64)),
        replica.submit(configuration(7)),
    )
    async with asyncio.timeout(20):
        drain, odd, sound = await outcomes
        later = await replica.submit(configuration(8))
    assert odd is None
    assert drain.drained == {'a'}
    assert (sound.version, later.version) == (7, 8)


async def test_order_that_cannot_be_sent_is_undecided(tmp_path):
    """Guards against an error in place of the outcome of an order."""
    cluster = EmulatedCluster(tmp_path, 3, 5)
    await cluster.form()
    active = await _active_replica(cluster)
    others = [
        machine.replica
        for machine in cluster.machines.values()
        if machine.replica is not active
    ]
    assert await others[0].submit(configuration(2**64)) is None


async def test_first_configuration_of_version_zero(tmp_path):
    """Guards against version 0 that is acknowledged and lost (CONFIG)."""
    cluster = EmulatedCluster(tmp_path, 6, 2)
    await cluster.form()
    replica = cluster.machines[cluster.hosts[4]].replica
    await replica.submit(DrainDomain(domain='a', drained=True))
    order = configuration(0)
    assert (await replica.submit(order)).body == order.body
    for machine in cluster.machines.values():
        await machine.kill()
    _start_all(cluster)
    await asyncio.sleep(START_GRACE_S)
    for machine in cluster.machines.values():
        state = await machine.replica.read()
        assert (state.version, state.body) == (0, order.body)
