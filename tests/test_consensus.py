"""Property-based test of the control log under random faults.

It guards against changes that are reverted or accepted twice, and against
a cluster without a leader, when crashes, pauses, lost disks and network
faults combine.
"""

import enum
import os
import random

import pytest
from hypothesis import HealthCheck, Phase, event, seed, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from loguru import logger

from cuminhoist.config_model import Accepted, Change, Drain
from cuminhoist.types import DrainScope

from .control_world import Node, World

#: Examples of a longer run with a random seed, which is printed.
FUZZ_EXAMPLES = int(os.environ.get('CUMINHOIST_FUZZ', '0'))
#: Keeps this module to about 40 s.
CI_EXAMPLES = 45
WAITS = strategies.sampled_from((0.0011, 0.02, 0.3, 1, 2.5, 6))


@pytest.fixture(autouse=True)
def _no_logs():
    logger.disable('cuminhoist')
    yield
    logger.enable('cuminhoist')


class Fault(enum.StrEnum):
    """A fault that can be injected into a replica, or its end."""

    crash = 'crash'
    restart = 'restart'
    lose_disk = 'lose disk'
    pause = 'pause'
    resume = 'resume'
    isolate = 'isolate'
    cut_out = 'cut messages from it'
    cut_in = 'cut messages to it'
    fill_disk = 'fill disk'
    slow_disk = 'slow disk'
    nothing = 'nothing'
    short_pause = 'pause and resume'
    power_loss = 'crash and restart all'
    double_loss = 'crash and restart with another one'
    swap = 'isolate, and end other network faults'


DISK_FAULTS = {Fault.fill_disk, Fault.slow_disk, Fault.lose_disk}
LINK_FAULTS = {Fault.isolate, Fault.cut_out, Fault.cut_in, Fault.swap}


class ControlMachine(RuleBasedStateMachine):
    """Injects faults while changes are submitted continuously."""

    @initialize(
        number=strategies.integers(0, 2**16),
        count=strategies.sampled_from((3, 3, 5)),
    )
    def boot(self, number: int, count: int) -> None:
        self.world = World(count, number)
        self.world.boot()
        self.world.load_enabled = True
        for node in self.world.nodes.values():
            node.disk.delay_s = self.world.rng.choice((0.002, 0.2))

    @rule(
        fault=strategies.sampled_from(Fault),
        slot=strategies.integers(-2, 4),
        after=WAITS,
    )
    def break_replica(self, fault: Fault, slot: int, after: float) -> None:
        """Inject a fault into a replica, the leader if slot is negative."""
        world = self.world
        node = world.nodes[world.names[slot % len(world.names)]]
        if slot < 0:
            node = world.leader() or node
        self._break(node, fault)
        world.advance(after)

    @rule(
        delay_s=strategies.sampled_from((0.01, 0.01, 0.3, 1.5)),
        loss=strategies.sampled_from((0, 0, 0.1, 0.4)),
        duplicates=strategies.sampled_from((0, 0.3)),
        after=WAITS,
    )
    def disturb(
        self,
        delay_s: float,
        loss: float,
        duplicates: float,
        after: float,
    ) -> None:
        """Delay, reorder, lose or duplicate messages."""
        network = self.world.network
        network.delay_s = delay_s
        network.loss = loss
        network.duplicates = duplicates
        self.world.advance(after)

    @rule(after=WAITS)
    def heal(self, after: float) -> None:
        """End all network faults."""
        self.world.heal()
        self.world.advance(after)

    @rule(after=WAITS)
    def recover(self, after: float) -> None:
        """End all faults."""
        self.world.recover()
        self.world.advance(after)

    def _break(self, node: Node, fault: Fault) -> None:
        if fault in DISK_FAULTS:
            self._break_disk(node, fault)
        elif fault in LINK_FAULTS:
            self._break_links(node, fault)
        elif fault in {Fault.power_loss, Fault.double_loss}:
            self._crash_several(node, fault)
        elif fault is Fault.crash and node.alive:
            node.crash()
        elif fault is Fault.restart and not node.alive:
            node.start()
        elif fault in {Fault.pause, Fault.resume, Fault.short_pause}:
            self._pause(node, fault)

    def _pause(self, node: Node, fault: Fault) -> None:
        if fault is not Fault.resume:
            node.not_paused.clear()
        if fault is Fault.short_pause:
            self.world.advance(self.world.rng.choice((1.2, 3.5, 6)))
        if fault is not Fault.pause:
            node.not_paused.set()

    def _crash_several(self, node: Node, fault: Fault) -> None:
        nodes = list(self.world.nodes.values())
        if fault is Fault.double_loss:
            nodes = [node, self.world.rng.choice(nodes)]
        for target in nodes:
            if target.alive:
                target.crash()
        for target in nodes:
            if not target.alive:
                target.start()

    def _break_disk(self, node: Node, fault: Fault) -> None:
        world = self.world
        if fault is Fault.fill_disk:
            node.disk.full = not node.disk.full
        elif fault is Fault.slow_disk:
            node.disk.delay_s = world.rng.choice((0.002, 0.1, 0.8))
        # Losing the disks of a quorum stops the cluster for good, so it is
        # rare here.
        elif world.can_recover(node) or world.rng.random() < 0.1:
            if node.alive:
                node.lose_disk()
                node.start()

    def _break_links(self, node: Node, fault: Fault) -> None:
        if fault is Fault.swap:
            self.world.heal()
        for other in self.world.names:
            if fault is not Fault.cut_in:
                self.world.network.blocked_links.add((node.name, other))
            if fault is not Fault.cut_out:
                self.world.network.blocked_links.add((other, node.name))

    @invariant()
    def holds(self) -> None:
        """Check the invariants of :meth:`World.check`."""
        if hasattr(self, 'world'):
            self.world.check()

    def teardown(self) -> None:
        """End all faults and check that the cluster accepts a change."""
        if not hasattr(self, 'world'):
            return
        world = self.world
        recovers = False
        try:
            world.load_enabled = False
            world.recover()
            world.advance(20)
            recovers = world.can_recover()
            if recovers:
                self._make_progress()
        finally:
            world.close()
            event(f'{len(world.accepted) // 20 * 20} or more accepted')
            event(f'{len(world._leaders)} leaders')
            event(f'recovers: {recovers}')

    def _make_progress(self) -> None:
        world = self.world
        leader = world.leader()
        assert leader is not None, 'no leader after recovery'
        assert world.complete(), 'not all are voters'
        drain = Drain(scope=DrainScope.upstream, name='last')
        outcome = world.decide(
            leader.name,
            Change.from_drain('last-change', drain),
        )
        assert isinstance(outcome, Accepted), outcome
        world.advance(3)
        for node in world.nodes.values():
            config = node.replica.committed_config()
            assert config is not None
            assert config.version == outcome.version


def test_invariants_under_faults():
    """Guards against changes that are reverted or accepted twice."""
    machine = ControlMachine
    if FUZZ_EXAMPLES:
        number = random.SystemRandom().getrandbits(32)
        fuzz_seed = int(os.environ.get('CUMINHOIST_FUZZ_SEED', number))
        print(f'CUMINHOIST_FUZZ_SEED={fuzz_seed}')
        machine = seed(fuzz_seed)(ControlMachine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=FUZZ_EXAMPLES or CI_EXAMPLES,
            stateful_step_count=25,
            derandomize=not FUZZ_EXAMPLES,
            deadline=None,
            database=None,
            phases=(Phase.generate, Phase.shrink),
            suppress_health_check=list(HealthCheck),
        ),
    )
