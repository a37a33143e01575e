"""Tests of the simulated control replicas.

They guard against runs of one seed that differ, so that the example of a
failed property-based test cannot be replayed.
"""

import asyncio

from .control_steps import leader_of
from .control_world import World

TASKS = 40


def test_crash_cancels_tasks_in_the_order_of_their_start():
    """Guards against an order of cancellations that depends on addresses."""
    world = World(1)
    node = world.nodes['c0']
    cancelled = []

    async def record_cancellation(number: int) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.append(number)

    for number in range(TASKS):
        node.run(record_cancellation(number))
    world.advance(1)
    node.crash()
    world.close()
    assert cancelled == list(range(TASKS))


def test_peers_are_called_in_the_order_of_their_names():
    """Guards against an order of requests that depends on hashes.

    The hash of a member differs between processes.
    """
    world = World(5, seed=1)
    world.boot()
    for _ in range(3):
        old_leader = leader_of(world)
        old_leader.crash()
        world.advance(5)
        leadership = leader_of(world).replica._leadership
        peers = [member.name for member in leadership._peers]
        assert peers == sorted(peers)
        old_leader.start()
        world.advance(5)
    world.close()
