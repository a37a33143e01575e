"""Helpers for the tests of the control log."""

from cuminhoist.codec import Message, ReceivedMessage
from cuminhoist.config_model import Accepted

from . import builders
from .control_world import Node, World


class Recorder:
    """Records the requests that one replica receives."""

    def __init__(self, world: World, name: str) -> None:
        self.requests: list[Message] = []
        transport = world.nodes[name].transport
        handle = transport.handle

        async def record(received: ReceivedMessage) -> Message:
            self.requests.append(received.message)
            return await handle(received)

        transport.handle = record  # type: ignore[method-assign]


def leader_of(world: World) -> Node:
    """Wait for an established leader and return it."""
    for _ in range(20):
        leader = world.leader()
        if leader is not None and leader.replica._leadership is not None:
            if leader.replica._leadership.established:
                return leader
        world.advance(0.5)
    raise AssertionError('no leader')


def followers_of(world: World) -> list[Node]:
    """Return all replicas except the leader."""
    leader = leader_of(world)
    return [node for node in world.nodes.values() if node is not leader]


def accept(world: World, change_id: str) -> int:
    """Submit a change, expect its acceptance and return its version."""
    leader = leader_of(world)
    base = leader.ctx.state.config.plans_version
    change = builders.plans_change(change_id, base, len(world.changes) + 1)
    outcome = world.decide(leader.name, change)
    assert isinstance(outcome, Accepted), outcome
    return outcome.version
