"""Tests of the control log for start-up, restarts, full and damaged disks.

They guard against a replica that serves or confirms a state that is
damaged, unwritten or not confirmed by a quorum.
"""

import pytest
from loguru import logger
from returns.result import Failure, Success

from cuminhoist.config_model import Accepted, Unavailable
from cuminhoist.replica_context import CorruptionPolicy, ReplicaOptions
from cuminhoist.storage import DiskErrorKind

from . import builders
from .control_steps import accept, followers_of, leader_of
from .control_world import World


@pytest.fixture(autouse=True)
def _no_logs():
    logger.disable('cuminhoist')
    yield
    logger.enable('cuminhoist')


@pytest.fixture
def world():
    """Return three replicas that form a cluster."""
    cluster = World(3, seed=1)
    cluster.boot()
    yield cluster
    cluster.close()


def test_changes_need_a_majority_of_the_control_instances():
    """Guards against a first voter that accepts changes on its own."""
    world = World(3, seed=3)
    first_node = world.nodes['c0']
    first_node.start()
    world.advance(1)
    assert isinstance(
        world.wait(first_node.run(first_node.replica.bootstrap_cluster())),
        Success,
    )
    assert isinstance(
        world.wait(first_node.run(first_node.replica.bootstrap_cluster())),
        Failure,
    )
    world.advance(3)
    assert first_node.replica.status().role == 'leader'
    change = builders.plans_change('early', 0)
    assert isinstance(world.decide('c0', change), Unavailable)
    world.nodes['c1'].start()
    world.advance(5)
    assert isinstance(world.decide('c1', change), Accepted)
    world.close()


def test_full_disks_that_get_space(world):
    """Guards against an accepted change that a full disk did not store."""
    accept(world, 'before')
    old_leader = leader_of(world)
    old_leader.disk.full = True
    outcome = world.decide(old_leader.name, builders.plans_change('full', 1))
    assert isinstance(outcome, Unavailable)
    world.advance(6)
    assert leader_of(world) is not old_leader
    accept(world, 'others')
    for node in world.nodes.values():
        node.disk.full = True
    leader = leader_of(world)
    late_change = builders.plans_change('all-full', 2)
    assert isinstance(world.decide(leader.name, late_change), Unavailable)
    for node in world.nodes.values():
        node.disk.full = False
    world.advance(15)
    assert isinstance(
        world.decide(leader_of(world).name, late_change), Accepted
    )


@pytest.mark.parametrize('kind', [DiskErrorKind.full, DiskErrorKind.failed])
def test_disks_that_are_full_in_turn(world, kind):
    """Guards against replicas that a full disk excludes until a restart.

    Not each error of a full disk names it. Long after the last disk had room
    again, no majority was left that took changes.
    """
    for number, node in enumerate(tuple(world.nodes.values()) * 2):
        node.disk.error_kind = kind
        node.disk.full = True
        world.decide(node.name, builders.plans_change(f'full-{number}', 0))
        world.advance(4)
        node.disk.full = False
        world.advance(20)
    accept(world, 'after')
    assert world.complete()


def test_failed_write_is_not_read_after_the_repair(world):
    """Guards against an entry that was never synced, and is found on disk."""
    version = accept(world, 'kept')
    node = followers_of(world)[0]
    node.disk.error_kind = DiskErrorKind.failed
    node.disk.full = True
    assert accept(world, 'missed') == version + 1
    world.advance(1)
    assert node.replica.status().fault
    node.disk.full = False
    node.disk.files['log'] += b'written, but never synced'
    world.advance(10)
    assert not node.replica.status().fault
    node.crash()
    node.start()
    world.advance(10)
    assert not node.replica.status().fault
    assert node.replica.committed_config().version == version + 1


def test_start_on_a_full_disk(world):
    """Guards against a replica that stays inactive after such a start."""
    node = followers_of(world)[0]
    node.crash()
    node.disk.files.clear()
    node.disk.full = True
    node.start()
    world.advance(6)
    assert 'no space' in node.replica.status().fault
    node.disk.full = False
    world.advance(20)
    assert not node.replica.status().fault
    version = accept(world, 'after')
    world.advance(2)
    assert node.replica.committed_config().version == version


@pytest.mark.parametrize('policy', list(CorruptionPolicy))
def test_damaged_files(policy):
    """Guards against a replica that reads damaged files as its state."""
    world = World(3, seed=4)
    world.options = ReplicaOptions(
        timings=world.options.timings,
        on_corruption=policy,
    )
    world.boot()
    version = accept(world, 'kept')
    node = followers_of(world)[0]
    old_member = node.ctx.own_member
    node.crash()
    damaged = bytearray(node.disk.files['log'])
    damaged[3] ^= 1
    node.disk.files['log'] = bytes(damaged)
    node.start()
    world.advance(6)
    status = node.replica.status()
    if policy is CorruptionPolicy.stop:
        assert 'corrupt' in status.fault
        assert node.replica.committed_config() is None
        assert accept(world, 'two-are-enough') == version + 1
    else:
        assert status.incarnation != old_member.incarnation
        assert node.replica.committed_config().version == version
        assert next(iter(node.disk.subfolders.values()))['log'] == damaged
        assert world.complete()
    world.close()


def test_restart_of_all_serves_nothing_unconfirmed(world):
    """Guards against an old state served after a restart without a quorum."""
    version = accept(world, 'kept')
    for node in world.nodes.values():
        node.crash()
    first_node, *others = world.nodes.values()
    first_node.start()
    world.advance(30)
    assert first_node.replica.committed_config() is None
    assert first_node.replica.confirmed_age_s() is None
    for node in others:
        node.start()
    world.advance(6)
    assert {
        node.replica.committed_config().version for node in world.nodes.values()
    } == {version}


def test_listeners_get_versions_in_order(world):
    """Guards against a listener that gets an older configuration later."""
    versions_by_replica: dict[str, list[int]] = {
        name: [] for name in world.names
    }
    for name, node in world.nodes.items():
        node.replica.on_commit(
            lambda config, name=name: versions_by_replica[name].append(
                config.version
            ),
        )
    for number in range(30):
        accept(world, f'change-{number}')
    world.advance(2)
    for versions in versions_by_replica.values():
        assert versions == sorted(set(versions))
        assert versions[-1] == 30
