"""Tests of the delivery of the configuration on a controlled clock."""

import asyncio

import msgspec
import pytest

from cuminhoist.config_delivery import ConfigDeliveryOptions
from cuminhoist.freshness import Currency
from cuminhoist.watch import Watch, WatchReply

from .builders_delivery import grid_topology
from .deliveryworld import World

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime(start=0)]
CHANGE_S = 0.1


@pytest.fixture
async def world():
    made = World()
    yield made
    await made.close()


async def test_change_is_in_force_everywhere_at_once(world):
    """Guards against a level that waits for the next poll."""
    world.start()
    await world.change()
    await asyncio.sleep(8)
    await world.change()
    await asyncio.sleep(CHANGE_S)
    assert {world.version(name) for name in world.nodes} == {2}
    assert {world.currency(name) for name in world.nodes} == {Currency.fresh}


async def test_every_level_stays_fresh_without_changes():
    """Guards against an age that adds up over the levels of the tree."""
    world = World(grid_topology(2, 30))
    world.start()
    await world.change()
    await asyncio.sleep(4)
    assert world.at_level(3)
    for _ in range(40):
        await asyncio.sleep(0.25)
        assert {world.currency(name) for name in world.nodes} == {'fresh'}
    calls = len(world.net.calls)
    await asyncio.sleep(20)
    idle = (len(world.net.calls) - calls) / 20 / len(world.nodes)
    await world.close()
    # A poll each 2 s (one more is allowed in four): a parent of eight
    # handles under ten exchanges a second.
    assert idle < 0.625


async def test_lost_parent(world):
    """Guards against children that stay with a parent that is gone."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    relay, child = world.at_level(1)[0], world.at_level(2)[0]
    await world.kill(*world.at_level(1))
    await world.change()
    await asyncio.sleep(4)
    assert relay in world.nodes
    assert world.version(child) == 2
    assert world.currency(child) is Currency.fresh


async def test_partitioned_domain_serves_stale_and_catches_up(world):
    """Guards against a stop of service and a false claim to be fresh."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    world.cut_domain('dom-02')
    world.cluster.logs['dom-02-00'].isolate()
    await asyncio.sleep(6)
    await world.change(3)
    await asyncio.sleep(1)
    inside = [name for name in world.nodes if name.startswith('dom-02')]
    for name in inside:
        assert world.version(name) == 1
        assert world.currency(name) is Currency.stale
    world.net.is_cut = lambda _one, _two: False
    world.cluster.logs['dom-02-00'].heal()
    await asyncio.sleep(5)
    for name in inside:
        assert world.version(name) == 4
        assert world.currency(name) is Currency.fresh


async def test_restart_after_hundreds_of_changes_takes_one_round_trip(world):
    """Guards against a restarted instance that replays change by change."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.at_level(2)[0]
    await world.kill(child)
    await world.change(400)
    await asyncio.sleep(2)
    world.net.calls.clear()
    world.start(child)
    await world.settle(child)
    first = [call for call in world.net.calls if call[0] == child]
    assert [type(call[2]) for call in first[:1]] == [Watch]
    assert world.versions[child] == [401]


async def test_missed_changes_arrive_in_one_reply(world):
    """Guards against one round trip per missed change."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.at_level(2)[0]
    world.net.paused[child] = asyncio.Event()
    await world.change(300)
    await asyncio.sleep(10)
    world.net.paused.pop(child).set()
    await world.settle(child)
    assert world.versions[child] in ([1, 301], [1, 2, 301])


async def test_restart_in_an_isolated_domain(world):
    """Guards against a start on old state, and against no start at all."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    world.cut_domain('dom-02')
    world.cluster.logs['dom-02-00'].isolate()
    await asyncio.sleep(6)
    child = next(
        name for name in world.at_level(2) if name.startswith('dom-02')
    )
    await world.kill(child)
    world.start(child)
    await asyncio.sleep(2.5)
    assert world.currency(child) is Currency.empty
    await asyncio.sleep(4)
    assert world.version(child) == 1
    assert world.currency(child) is Currency.isolated
    await world.change()
    world.net.is_cut = lambda _one, _two: False
    world.cluster.logs['dom-02-00'].heal()
    await asyncio.sleep(6)
    assert world.version(child) == 2
    assert world.currency(child) is Currency.fresh


async def test_isolated_start_takes_the_highest_version_of_the_domain(world):
    """Guards against an old version while a peer holds a newer one."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    inside = [name for name in world.nodes if name.startswith('dom-02')]
    behind, ahead, child = inside[0], inside[1], inside[2]
    await world.kill(*inside[2:])
    world.cluster.logs['dom-02-00'].isolate()
    world.net.is_cut = lambda one, two: behind in (one, two)
    await world.change()
    await world.settle(ahead)
    world.cut_domain('dom-02')
    await asyncio.sleep(6)
    assert world.version(behind) == 1
    world.start(child)
    await asyncio.sleep(7)
    assert world.version(child) == 2
    assert world.currency(child) is Currency.isolated


async def test_paused_parent_does_not_hand_out_old_state_as_fresh(world):
    """Guards against a restarted child that trusts a parent just resumed."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.at_level(2)[0]
    parent = world.nodes[child]._parents()[0]
    await world.kill(child)
    world.net.paused[parent] = asyncio.Event()
    await world.change(5)
    await asyncio.sleep(60)
    # The parent resumes, but what it polls stays out of reach.
    world.net.paused.pop(parent).set()
    world.net.is_cut = lambda one, two: parent == one and child != two
    world.start(child)
    await world.settle(child)
    assert world.versions[child] == [6]


async def test_isolated_replica_does_not_confirm(world):
    """Guards against an old leader that believes it is current."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    for log in world.cluster.logs.values():
        log.isolate()
    await asyncio.sleep(12)
    assert {world.currency(name) for name in world.nodes} == {'stale'}
    assert {world.version(name) for name in world.nodes} == {1}


async def test_leader_change(world):
    """Guards against changes that only reach children of one replica."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    old, new = world.cluster.leader, 'dom-01-00'
    world.cluster.leader = new
    world.cluster.logs[old].isolate()
    world.net.is_cut = lambda one, two: old in (one, two)
    await world.change()
    await asyncio.sleep(7)
    reached = [name for name in world.nodes if name != old]
    assert {world.version(name) for name in reached} == {2}
    assert {world.currency(name) for name in reached} == {Currency.fresh}


async def test_restarted_replica_does_not_trust_its_disk(world):
    """Guards against a version of the disk that is taken as current."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    name = 'dom-02-00'
    await world.kill(name)
    log = world.cluster.logs[name]
    log.isolate()
    await asyncio.sleep(6)
    await world.change()
    world.start(name)
    await world.settle(name)
    assert world.versions[name] == [2]


@pytest.mark.parametrize('field', ['steps', 'snapshot', 'digest'])
async def test_forged_replies_are_never_in_force(world, field):
    """Guards against a configuration that differs from the digest."""
    world.start()
    await world.change(3)
    await asyncio.sleep(5)
    child = world.at_level(2)[0]
    plans = world.cluster.state.config.plans

    def tamper(receiver, msg):
        if receiver != child or not isinstance(msg, WatchReply):
            return msg
        forged = {
            'steps': tuple(step[:-1] + b'\x01' for step in msg.steps),
            'snapshot': msg.snapshot[:-1],
            'digest': bytes(32),
        }
        return msgspec.structs.replace(msg, **{field: forged[field]})

    world.net.tamper = tamper
    await world.change()
    await asyncio.sleep(7)
    held = world.nodes[child].store
    if field == 'digest':
        assert world.version(child) == 3
        assert held.in_force.current.plans == plans
        assert world.currency(child) is Currency.stale
    else:
        good = world.nodes['dom-00-00'].store
        assert held.encoded.digest == good.encoded.digest
    assert world.nodes[child].client.rejected_count > 0 or field == 'snapshot'
    world.net.tamper = lambda _receiver, msg: msg
    await world.settle(child)


async def test_delayed_replies_count_as_old(world):
    """Guards against a delay on the way that makes a version look fresh."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.at_level(2)[0]
    for log in world.cluster.logs.values():
        log.isolate()
    cut_at = world.clock.now()
    world.net.delay_s = 0.2
    while world.clock.now() < cut_at + 5:
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.1)
    assert world.currency(child) is Currency.stale


async def test_replayed_reply_changes_nothing(world):
    """Guards against a duplicate or late reply that takes a node back."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.at_level(2)[0]
    kept = []

    def replay(receiver, msg):
        if receiver == child and isinstance(msg, WatchReply):
            kept.append(msg)
            return kept[0]
        return msg

    world.net.tamper = replay
    await world.change()
    await asyncio.sleep(2)
    await world.change()
    await asyncio.sleep(12)
    assert world.version(child) == 2
    world.net.tamper = lambda _receiver, msg: msg
    await world.settle(child)


async def test_parent_bounds_the_polls_that_it_holds():
    """Guards against polls that use up all server contexts."""
    world = World(grid_topology(2, 30, controls=1))
    world.start()
    await world.change()
    await asyncio.sleep(5)
    await world.kill(*world.at_level(1))
    for _ in range(40):
        await asyncio.sleep(0.25)
        polls = [node.server.held_polls for node in world.nodes.values()]
        assert max(polls) <= 16
    await world.close()


async def test_lost_parent_at_the_current_size():
    """Guards against a child of a lost parent that waits over 2 s."""
    topology = grid_topology(3, 4)
    world = World(
        topology, ConfigDeliveryOptions.from_topology(topology).hold_s
    )
    world.start()
    await world.change()
    await asyncio.sleep(5)
    await world.kill(*[name for name in world.at_level(1)][::2])
    await world.change()
    await asyncio.sleep(2)
    for name in world.tasks:
        assert world.version(name) == 2
    await world.close()
