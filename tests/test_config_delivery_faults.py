"""Tests of delivery under random faults, with fixed seeds."""

import asyncio
import random

import pytest

from cuminhoist.freshness import Currency

from .builders_delivery import grid_topology
from .deliveryworld import World

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime(start=0)]


@pytest.mark.parametrize('seed', range(8))
async def test_random_faults(seed):
    """Guards against a false claim to be fresh and a lost change.

    An instance that says ``fresh`` has all that was committed 5 s ago or
    earlier, whatever is cut, paused or restarted.
    """
    rng = random.Random(seed)
    world = World(grid_topology(3, 5))
    world.start()
    commits = [(world.clock.now(), 0)]
    names = list(world.nodes)
    cut = set()
    world.net.is_cut = lambda one, two: (
        frozenset((one[:6], two[:6])) in cut or {one, two} & cut
    )
    for _ in range(400):
        await asyncio.sleep(0.25)
        await _random_fault(rng, world, names, cut, commits)
        old = world.clock.now() - 5.1
        due = max([made for when, made in commits if when <= old] + [0])
        for name in world.tasks:
            if name not in world.net.paused:
                if world.currency(name) is Currency.fresh:
                    assert world.version(name) >= due, (name, due)
    cut.clear()
    for log in world.cluster.logs.values():
        log.heal()
    for name in list(world.net.paused):
        world.net.paused.pop(name).set()
    world.start(*[name for name in names if name not in world.tasks])
    await world.change()
    await asyncio.sleep(8)
    for name in names:
        assert world.version(name) == world.made, name
        assert world.currency(name) is Currency.fresh
    await world.close()


async def _random_fault(rng, world, names, cut, commits):
    name = rng.choice(names)
    domains = ['dom-00', 'dom-01', 'dom-02']
    match rng.randrange(14):
        case 0 | 1 | 2:
            leader = world.cluster.logs[world.cluster.leader]
            if leader._isolated_at is None:
                await world.change()
                commits.append((world.clock.now(), world.made))
        case 3:
            cut.add(frozenset(rng.sample(domains, 2)))
        case 4:
            cut.add(name)
        case 5 | 6:
            cut.clear()
        case 7 if name in world.tasks:
            await world.kill(name)
        case 8 | 9 if name not in world.tasks:
            world.start(name)
        case 10:
            world.net.paused.setdefault(name, asyncio.Event())
        case 11 if world.net.paused:
            world.net.paused.pop(rng.choice(sorted(world.net.paused))).set()
        case 12:
            follower = rng.choice(
                [
                    log
                    for log in world.cluster.logs
                    if log != world.cluster.leader
                ]
            )
            world.cluster.logs[follower].isolate()
        case 13:
            for log in world.cluster.logs.values():
                log.heal()
