"""Directed tests of the control log, about files, restarts and start-up."""

import pytest
from loguru import logger
from returns.result import Failure, Success

from cuminhoist.config_model import Accepted, Unavailable
from cuminhoist.replica_context import CorruptionPolicy, ReplicaOptions

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
    made = World(3, seed=1)
    made.boot()
    yield made
    made.close()


def test_changes_need_a_majority_of_the_declared():
    """Guards against a first voter that accepts on its own."""
    world = World(3, seed=3)
    first = world.nodes['c0']
    first.start()
    world.advance(1)
    assert isinstance(
        world.wait(first.run(first.replica.bootstrap_cluster())), Success
    )
    assert isinstance(
        world.wait(first.run(first.replica.bootstrap_cluster())),
        Failure,
    )
    world.advance(3)
    assert first.replica.status().role == 'leader'
    change = builders.plans_change('early', 0)
    assert isinstance(world.decide('c0', change), Unavailable)
    world.nodes['c1'].start()
    world.advance(5)
    assert isinstance(world.decide('c1', change), Accepted)
    world.close()


def test_full_disks_and_space_again(world):
    """Guards against an answer for a change that was not written."""
    accept(world, 'before')
    old = leader_of(world)
    old.disk.full = True
    outcome = world.decide(old.name, builders.plans_change('full', 1))
    assert isinstance(outcome, Unavailable)
    world.advance(6)
    assert leader_of(world) is not old
    accept(world, 'others')
    for node in world.nodes.values():
        node.disk.full = True
    leader = leader_of(world)
    late = builders.plans_change('all-full', 2)
    assert isinstance(world.decide(leader.name, late), Unavailable)
    for node in world.nodes.values():
        node.disk.full = False
    world.advance(15)
    assert isinstance(world.decide(leader_of(world).name, late), Accepted)


@pytest.mark.parametrize('choice', list(CorruptionPolicy))
def test_damaged_files(choice):
    """Guards against damaged files that are read as state."""
    world = World(3, seed=4)
    world.options = ReplicaOptions(
        timings=world.options.timings,
        on_corruption=choice,
    )
    world.boot()
    version = accept(world, 'kept')
    node = followers_of(world)[0]
    before = node.core.own
    node.crash()
    damaged = bytearray(node.disk.files['log'])
    damaged[3] ^= 1
    node.disk.files['log'] = bytes(damaged)
    node.start()
    world.advance(6)
    status = node.replica.status()
    if choice is CorruptionPolicy.stop:
        assert 'corrupt' in status.fault
        assert node.replica.committed_config() is None
        assert accept(world, 'two-are-enough') == version + 1
    else:
        assert status.incarnation != before.incarnation
        assert node.replica.committed_config().version == version
        assert next(iter(node.disk.aside.values()))['log'] == damaged
        assert world.complete()
    world.close()


def test_restart_of_all_serves_nothing_unconfirmed(world):
    """Guards against an old state that is served after a restart."""
    version = accept(world, 'kept')
    for node in world.nodes.values():
        node.crash()
    first, *others = world.nodes.values()
    first.start()
    world.advance(30)
    assert first.replica.committed_config() is None
    assert first.replica.confirmed_age_s() is None
    for node in others:
        node.start()
    world.advance(6)
    assert {
        node.replica.committed_config().version for node in world.nodes.values()
    } == {version}


def test_listeners_hear_versions_in_order(world):
    """Guards against a listener that sees an older configuration."""
    heard: dict[str, list[int]] = {name: [] for name in world.names}
    for name, node in world.nodes.items():
        node.replica.on_commit(
            lambda config, name=name: heard[name].append(config.version),
        )
    for number in range(30):
        accept(world, f'change-{number}')
    world.advance(2)
    for versions in heard.values():
        assert versions == sorted(set(versions))
        assert versions[-1] == 30
