"""Tests of configuration delivery under random injected faults.

Partitions, pauses, restarts and isolated replicas follow each other at random,
with fixed seeds. No combination may lose a change for good, or let an instance
report an old version as fresh.
"""

import asyncio
import random

import pytest

from cuminhoist.freshness import Currency

from .builders_delivery import grid_topology
from .deliveryworld import World

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime(start=0)]


@pytest.mark.parametrize('seed', range(8))
async def test_random_faults(seed):
    """Guards against an old version reported as fresh, and a lost change.

    An instance that reports ``fresh`` has all changes that were committed at
    least 5 s ago, whatever is disconnected, paused or restarted.
    """
    rng = random.Random(seed)
    world = World(grid_topology(3, 5))
    world.start()
    commits = [(world.clock.now(), 0)]
    names = list(world.nodes)
    cuts = set()
    world.network.is_cut = lambda sender, receiver: (
        frozenset((sender[:6], receiver[:6])) in cuts
        or {sender, receiver} & cuts
    )
    for _ in range(400):
        await asyncio.sleep(0.25)
        await _random_fault(rng, world, names, cuts, commits)
        due_before = world.clock.now() - 5.1
        due_version = max(
            [
                version
                for committed_at, version in commits
                if committed_at <= due_before
            ]
            + [0]
        )
        for name in world.tasks:
            if name not in world.network.paused:
                if world.currency(name) is Currency.fresh:
                    assert world.version(name) >= due_version, (
                        name,
                        due_version,
                    )
    cuts.clear()
    for log in world.cluster.logs.values():
        log.heal()
    for name in list(world.network.paused):
        world.network.paused.pop(name).set()
    world.start(*[name for name in names if name not in world.tasks])
    await world.change()
    await asyncio.sleep(8)
    for name in names:
        assert world.version(name) == world.change_count, name
        assert world.currency(name) is Currency.fresh
    await world.close()


async def _random_fault(rng, world, names, cuts, commits):
    name = rng.choice(names)
    domains = ['dom-00', 'dom-01', 'dom-02']
    match rng.randrange(14):
        case 0 | 1 | 2:
            leader = world.cluster.logs[world.cluster.leader]
            if leader._isolated_at is None:
                await world.change()
                commits.append((world.clock.now(), world.change_count))
        case 3:
            cuts.add(frozenset(rng.sample(domains, 2)))
        case 4:
            cuts.add(name)
        case 5 | 6:
            cuts.clear()
        case 7 if name in world.tasks:
            await world.kill(name)
        case 8 | 9 if name not in world.tasks:
            world.start(name)
        case 10:
            world.network.paused.setdefault(name, asyncio.Event())
        case 11 if world.network.paused:
            world.network.paused.pop(
                rng.choice(sorted(world.network.paused))
            ).set()
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
