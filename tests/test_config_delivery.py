"""Tests of configuration delivery on a fake network and a simulated clock.

They guard against instances that miss a change, apply an old or corrupt one, or
report an old version as fresh, when parents fail or domains are partitioned.
"""

import asyncio

import msgspec
import pytest

from cuminhoist.config_delivery import ConfigDeliveryOptions
from cuminhoist.freshness import Currency
from cuminhoist.watch import Watch, WatchReply

from .builders_delivery import grid_topology
from .deliveryworld import World

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime(start=0)]
#: Time in which a change must be in force at all instances.
MAX_DELIVERY_S = 0.1


@pytest.fixture
async def world():
    delivery_world = World()
    yield delivery_world
    await delivery_world.close()


async def test_change_is_in_force_everywhere_at_once(world):
    """Guards against a change that waits for the next poll at some level."""
    world.start()
    await world.change()
    await asyncio.sleep(8)
    await world.change()
    await asyncio.sleep(MAX_DELIVERY_S)
    assert {world.version(name) for name in world.nodes} == {2}
    assert {world.currency(name) for name in world.nodes} == {Currency.fresh}


async def test_every_level_stays_fresh_without_changes():
    """Guards against confirmations that age at each level of the tree.

    Without changes, the leaves would then become stale.
    """
    world = World(grid_topology(2, 30))
    world.start()
    await world.change()
    await asyncio.sleep(4)
    assert world.names_at_level(3)
    for _ in range(40):
        await asyncio.sleep(0.25)
        assert {world.currency(name) for name in world.nodes} == {'fresh'}
    calls = len(world.network.calls)
    await asyncio.sleep(20)
    polls_per_s = (len(world.network.calls) - calls) / 20 / len(world.nodes)
    await world.close()
    # One poll every 2 s, with one more in four allowed: a parent of eight
    # children then handles less than ten exchanges a second.
    assert polls_per_s < 0.625


async def test_lost_parent(world):
    """Guards against children that keep polling a failed parent."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    relay, child = world.names_at_level(1)[0], world.names_at_level(2)[0]
    await world.kill(*world.names_at_level(1))
    await world.change()
    await asyncio.sleep(4)
    assert relay in world.nodes
    assert world.version(child) == 2
    assert world.currency(child) is Currency.fresh


async def test_partitioned_domain_serves_stale_and_catches_up(world):
    """Guards against a partitioned domain that drops its configuration.

    Nor may it report its version as fresh, and it must catch up afterwards.
    """
    world.start()
    await world.change()
    await asyncio.sleep(5)
    world.cut_domain('dom-02')
    world.cluster.logs['dom-02-00'].isolate()
    await asyncio.sleep(6)
    await world.change(3)
    await asyncio.sleep(1)
    isolated_names = [name for name in world.nodes if name.startswith('dom-02')]
    for name in isolated_names:
        assert world.version(name) == 1
        assert world.currency(name) is Currency.stale
    world.network.is_cut = lambda _sender, _receiver: False
    world.cluster.logs['dom-02-00'].heal()
    await asyncio.sleep(5)
    for name in isolated_names:
        assert world.version(name) == 4
        assert world.currency(name) is Currency.fresh


async def test_restart_after_hundreds_of_changes_takes_one_round_trip(world):
    """Guards against a restart that applies missed changes one by one."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.names_at_level(2)[0]
    await world.kill(child)
    await world.change(400)
    await asyncio.sleep(2)
    world.network.calls.clear()
    world.start(child)
    await world.wait_until_current(child)
    child_calls = [call for call in world.network.calls if call[0] == child]
    assert [type(call[2]) for call in child_calls[:1]] == [Watch]
    assert world.versions[child] == [401]


async def test_missed_changes_arrive_in_one_reply(world):
    """Guards against a resumed instance that needs a round trip per change."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.names_at_level(2)[0]
    world.network.paused[child] = asyncio.Event()
    await world.change(300)
    await asyncio.sleep(10)
    world.network.paused.pop(child).set()
    await world.wait_until_current(child)
    assert world.versions[child] in ([1, 301], [1, 2, 301])


async def test_restart_in_an_isolated_domain(world):
    """Guards against an isolated start that applies old state too early.

    Nor may the instance stay without a configuration.
    """
    world.start()
    await world.change()
    await asyncio.sleep(5)
    world.cut_domain('dom-02')
    world.cluster.logs['dom-02-00'].isolate()
    await asyncio.sleep(6)
    child = next(
        name for name in world.names_at_level(2) if name.startswith('dom-02')
    )
    await world.kill(child)
    world.start(child)
    await asyncio.sleep(2.5)
    assert world.currency(child) is Currency.empty
    await asyncio.sleep(4)
    assert world.version(child) == 1
    assert world.currency(child) is Currency.isolated
    await world.change()
    world.network.is_cut = lambda _sender, _receiver: False
    world.cluster.logs['dom-02-00'].heal()
    await asyncio.sleep(6)
    assert world.version(child) == 2
    assert world.currency(child) is Currency.fresh


async def test_isolated_start_takes_the_highest_version_of_the_domain(world):
    """Guards against a start on an old version while a peer has a newer one."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    isolated_names = [name for name in world.nodes if name.startswith('dom-02')]
    old_peer, new_peer, child = (
        isolated_names[0],
        isolated_names[1],
        isolated_names[2],
    )
    await world.kill(*isolated_names[2:])
    world.cluster.logs['dom-02-00'].isolate()
    world.network.is_cut = lambda sender, receiver: (
        old_peer in (sender, receiver)
    )
    await world.change()
    await world.wait_until_current(new_peer)
    world.cut_domain('dom-02')
    await asyncio.sleep(6)
    assert world.version(old_peer) == 1
    world.start(child)
    await asyncio.sleep(7)
    assert world.version(child) == 2
    assert world.currency(child) is Currency.isolated


async def test_paused_parent_does_not_hand_out_old_state_as_fresh(world):
    """Guards against a child that applies the old state of a resumed parent."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.names_at_level(2)[0]
    parent = world.nodes[child]._parents()[0]
    await world.kill(child)
    world.network.paused[parent] = asyncio.Event()
    await world.change(5)
    await asyncio.sleep(60)
    # The parent resumes, but cannot reach its own parents.
    world.network.paused.pop(parent).set()
    world.network.is_cut = lambda sender, receiver: (
        parent == sender and child != receiver
    )
    world.start(child)
    await world.wait_until_current(child)
    assert world.versions[child] == [6]


async def test_isolated_replica_does_not_confirm(world):
    """Guards against a former leader that confirms without a quorum."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    for log in world.cluster.logs.values():
        log.isolate()
    await asyncio.sleep(12)
    assert {world.currency(name) for name in world.nodes} == {'stale'}
    assert {world.version(name) for name in world.nodes} == {1}


async def test_leader_change(world):
    """Guards against changes that reach only the children of one replica."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    old, new = world.cluster.leader, 'dom-01-00'
    world.cluster.leader = new
    world.cluster.logs[old].isolate()
    world.network.is_cut = lambda sender, receiver: old in (sender, receiver)
    await world.change()
    await asyncio.sleep(7)
    other_names = [name for name in world.nodes if name != old]
    assert {world.version(name) for name in other_names} == {2}
    assert {world.currency(name) for name in other_names} == {Currency.fresh}


async def test_restarted_replica_does_not_trust_its_disk(world):
    """Guards against a replica that applies the old version on its disk."""
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
    await world.wait_until_current(name)
    assert world.versions[name] == [2]


@pytest.mark.parametrize('field', ['steps', 'snapshot', 'digest'])
async def test_forged_replies_are_never_in_force(world, field):
    """Guards against applying a configuration that differs from its digest."""
    world.start()
    await world.change(3)
    await asyncio.sleep(5)
    child = world.names_at_level(2)[0]
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

    world.network.tamper = tamper
    await world.change()
    await asyncio.sleep(7)
    child_store = world.nodes[child].store
    if field == 'digest':
        assert world.version(child) == 3
        assert child_store.in_force.current.plans == plans
        assert world.currency(child) is Currency.stale
    else:
        control_store = world.nodes['dom-00-00'].store
        assert child_store.encoded.digest == control_store.encoded.digest
    assert world.nodes[child].client.rejected_count > 0 or field == 'snapshot'
    world.network.tamper = lambda _receiver, msg: msg
    await world.wait_until_current(child)


async def test_delayed_replies_count_as_old(world):
    """Guards against a delayed reply that makes an old version look fresh."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.names_at_level(2)[0]
    for log in world.cluster.logs.values():
        log.isolate()
    cut_at = world.clock.now()
    world.network.delay_s = 0.2
    while world.clock.now() < cut_at + 5:
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.1)
    assert world.currency(child) is Currency.stale


async def test_replayed_reply_changes_nothing(world):
    """Guards against a repeated or late reply that restores an old version."""
    world.start()
    await world.change()
    await asyncio.sleep(5)
    child = world.names_at_level(2)[0]
    replies = []

    def replay(receiver, msg):
        if receiver == child and isinstance(msg, WatchReply):
            replies.append(msg)
            return replies[0]
        return msg

    world.network.tamper = replay
    await world.change()
    await asyncio.sleep(2)
    await world.change()
    await asyncio.sleep(12)
    assert world.version(child) == 2
    world.network.tamper = lambda _receiver, msg: msg
    await world.wait_until_current(child)


async def test_parent_bounds_the_polls_that_it_holds():
    """Guards against a parent that holds an unbounded number of polls."""
    world = World(grid_topology(2, 30, controls=1))
    world.start()
    await world.change()
    await asyncio.sleep(5)
    await world.kill(*world.names_at_level(1))
    for _ in range(40):
        await asyncio.sleep(0.25)
        polls = [node.server.held_polls for node in world.nodes.values()]
        assert max(polls) <= 16
    await world.close()


async def test_lost_parent_at_the_current_size():
    """Guards against a child of a failed parent that waits more than 2 s."""
    topology = grid_topology(3, 4)
    world = World(
        topology, ConfigDeliveryOptions.from_topology(topology).hold_s
    )
    world.start()
    await world.change()
    await asyncio.sleep(5)
    await world.kill(*[name for name in world.names_at_level(1)][::2])
    await world.change()
    await asyncio.sleep(2)
    for name in world.tasks:
        assert world.version(name) == 2
    await world.close()
