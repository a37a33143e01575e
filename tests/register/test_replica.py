"""Tests of the register under kills, lost disks, cuts and races."""

import asyncio

import pytest

from cuminhoist.fleet.instance_config import Address
from cuminhoist.register.declared_state import DrainDomain, Voter
from cuminhoist.register.voters import MAX_VOTERS, next_voters

from .builders import RegisterWorld, configuration

pytestmark = [pytest.mark.looptime]


async def test_all_instances_get_a_vote(tmp_path):
    """Guards against instances beside the seeds that never hold state."""
    world = RegisterWorld(tmp_path, 6, 1)
    await world.form()
    machine = world.machines[world.hosts[5]]
    assert len(machine.replica.latest_chosen.voters) == 6
    assert machine.replica.latest_chosen.settled


async def test_acknowledged_is_read_everywhere(tmp_path):
    """Guards against a read that is older than an acknowledgement."""
    world = RegisterWorld(tmp_path, 6, 2)
    await world.form()
    first = world.machines[world.hosts[4]].replica
    assert (await first.submit(configuration(7))).version == 7
    for machine in world.machines.values():
        assert (await machine.replica.read()).version == 7


async def test_other_content_of_a_version_is_never_in_force(tmp_path):
    """Guards against two contents of one version."""
    world = RegisterWorld(tmp_path, 6, 3)
    await world.form()
    one = world.machines[world.hosts[1]].replica
    other = world.machines[world.hosts[4]].replica
    await asyncio.gather(
        one.submit(configuration(7, 'a')),
        other.submit(configuration(7, 'b')),
    )
    bodies = {
        (await machine.replica.read()).body
        for machine in world.machines.values()
    }
    assert len(bodies) == 1
    seen = {
        state.body
        for machine in world.machines.values()
        for life in machine.lives
        for state in life
        if state.version == 7
    }
    assert seen == bodies


async def test_two_lost_disks_lose_nothing(tmp_path):
    """Guards against a vote of an emptied disk for what it forgot."""
    world = RegisterWorld(tmp_path, 6, 4)
    await world.form()
    order = configuration(9)
    assert await world.machines[world.hosts[0]].replica.submit(order)
    for machine in world.machines.values():
        await machine.kill()
    for host in world.hosts[:2]:
        await world.machines[host].wipe()
    for machine in world.machines.values():
        machine.start(first=False)
    await world.settle()
    for machine in world.machines.values():
        state = await machine.replica.read()
        assert state is not None
        assert state.version == 9
        assert len(state.voters) == 6


async def test_proposer_that_dies_after_its_acknowledgement(tmp_path):
    """Guards against a chosen state that nobody has been told of."""
    world = RegisterWorld(tmp_path, 6, 5)
    await world.form()
    machine = world.machines[world.hosts[0]]
    machine.broadcast = lambda msg: None
    assert await machine.replica.submit(configuration(9))
    await machine.kill()
    await asyncio.sleep(5)
    for host in world.hosts[1:]:
        assert world.machines[host].replica.latest_chosen.version == 9


async def test_minority_accepts_and_reads_nothing(tmp_path):
    """Guards against an isolated instance that believes to be current."""
    world = RegisterWorld(tmp_path, 6, 6)
    await world.form()
    lone = world.hosts[2]
    for host in world.hosts:
        world.separate(lone, host)
    replica = world.machines[lone].replica
    assert await replica.submit(configuration(5)) is None
    assert await replica.read() is None


async def test_orders_after_a_split_heals(tmp_path):
    """Guards against proposers that overtake each other for seconds."""
    world = RegisterWorld(tmp_path, 6, 7)
    await world.form()
    halves = world.hosts[::2], world.hosts[1::2]
    for one in halves[0]:
        for other in halves[1]:
            world.separate(one, other)
    waiting = [
        asyncio.create_task(machine.replica.submit(configuration(5 + number)))
        for number, machine in enumerate(world.machines.values())
    ]
    await asyncio.sleep(6)
    world.cut.clear()
    await asyncio.gather(*waiting)
    loop = asyncio.get_running_loop()
    began = loop.time()
    states = await asyncio.gather(
        *(
            machine.replica.submit(configuration(20 + number))
            for number, machine in enumerate(world.machines.values())
        ),
    )
    assert all(state is not None for state in states)
    # Operators move on to another instance after a second.
    assert loop.time() - began < 1


async def test_drain_is_read_back_after_a_power_loss(tmp_path):
    """Guards against drains that are kept in memory only."""
    world = RegisterWorld(tmp_path, 6, 8)
    await world.form()
    order = DrainDomain(domain='a', drained=True)
    assert await world.machines[world.hosts[3]].replica.submit(order)
    for machine in world.machines.values():
        await machine.kill()
    for machine in world.machines.values():
        machine.start(first=False)
    await asyncio.sleep(3)
    for machine in world.machines.values():
        assert (await machine.replica.read()).drained == {'a'}


async def test_replacement_at_another_address_gets_the_place(tmp_path):
    """Guards against a group that grows with each replaced instance."""
    world = RegisterWorld(tmp_path, 7, 9)
    spare = world.machines[world.hosts[6]]
    for host in world.hosts[:6]:
        world.machines[host].start(first=True)
    await world.settle()
    await asyncio.sleep(8)
    await world.machines[world.hosts[1]].wipe()
    await asyncio.sleep(4)
    spare.start(first=False)
    await world.settle()
    await asyncio.sleep(2)
    voters = {
        voter.address.host for voter in spare.replica.latest_chosen.voters
    }
    assert len(voters) == 6
    assert spare.host in voters
    assert world.hosts[1] not in voters


async def test_full_disk_acknowledges_nothing_it_does_not_hold(tmp_path):
    """Guards against an acknowledgement without a majority on disk."""
    world = RegisterWorld(tmp_path, 6, 10)
    await world.form()
    for host in world.hosts[:3]:
        world.machines[host].disk.refuses = True
    replica = world.machines[world.hosts[5]].replica
    assert await replica.submit(configuration(5)) is None
    world.machines[world.hosts[0]].disk.refuses = False
    assert (await replica.submit(configuration(6))).version == 6


@pytest.mark.parametrize('seed', range(24))
async def test_random_faults_lose_nothing(tmp_path, seed):
    """Guards against lost, doubled or reverted states under random faults."""
    world = RegisterWorld(tmp_path, 6, seed)
    await world.form()
    acknowledged = 0
    for version in range(1, 40):
        await _disturb(world)
        replica = world.machines[world.rng.choice(world.hosts)].replica
        if replica is not None:
            state = await replica.submit(configuration(version))
            if state is not None and state.version >= version:
                acknowledged = max(acknowledged, version)
        reader = world.machines[world.rng.choice(world.hosts)].replica
        if reader is not None:
            state = await reader.read()
            assert state is None or state.version >= acknowledged
    await _recover(world)
    for machine in world.machines.values():
        state = await machine.replica.read()
        assert state is not None
        assert state.version >= acknowledged
        for life in machine.lives:
            indexes = [entry.index for entry in life]
            assert indexes == sorted(set(indexes))


async def _disturb(world):
    rng = world.rng
    fault = rng.random()
    host = rng.choice(world.hosts)
    machine = world.machines[host]
    world.loss = rng.choice((0, 0, 0.05))
    down = sum(m.replica is None for m in world.machines.values())
    if fault < 0.2 and machine.replica is not None and down < 2:
        # Two lost disks are borne until both instances have a vote again.
        wipes = rng.random() < 0.4 and len(world.lost_disks() | {host}) <= 2
        await (machine.wipe() if wipes else machine.kill())
    elif fault < 0.4:
        world.loss = 0
        _start_all(world)
        await world.settle()
    elif fault < 0.5:
        world.separate(host, rng.choice(world.hosts))
    elif fault < 0.7:
        world.cut.clear()


async def _recover(world):
    world.cut.clear()
    world.loss = 0
    _start_all(world)
    await world.settle()
    await asyncio.sleep(3)


def _start_all(world):
    for machine in world.machines.values():
        if machine.replica is None:
            machine.start(first=False)


def _voter(name: str) -> Voter:
    return Voter(name, Address(name.partition('#')[0], 1))


def test_emptied_disk_takes_its_own_place():
    """Guards against a lost disk that keeps two votes."""
    voters = tuple(_voter(name) for name in 'abcdef')
    after = next_voters(voters, [_voter('b#1')], [_voter('c')])
    assert {voter.name for voter in after} == {'a', 'b#1', 'c', 'd', 'e', 'f'}


def test_voters_are_bounded():
    """Guards against a quorum that grows without limit."""
    voters = tuple(_voter(f'v{number}') for number in range(MAX_VOTERS))
    assert next_voters(voters, [_voter('w')], []) == voters
