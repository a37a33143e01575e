"""Tests of the replicated control log under faults."""

import os
import random

from hypothesis import HealthCheck, Phase, seed, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminhoist.lists import (
    Accepted,
    Change,
    Drain,
)
from cuminhoist.types import DrainScope

from . import builders
from .control_world import World

#: Number of examples of a longer run with a random, printed seed.
FUZZ_EXAMPLES = int(os.environ.get('CUMINHOIST_FUZZ', '0'))
SLOTS = strategies.integers(0, 4)


class ControlMachine(RuleBasedStateMachine):
    """Submits changes while replicas, disks and links fail."""

    @initialize(
        number=strategies.integers(0, 2**16),
        count=strategies.sampled_from((3, 3, 5)),
    )
    def boot(self, number: int, count: int) -> None:
        self.world = World(count, number)
        self.world.boot()
        self.submitted: list[Change] = []

    def name(self, slot: int) -> str:
        return self.world.names[slot % len(self.world.names)]

    def node(self, slot: int):
        return self.world.nodes[self.name(slot)]

    @rule(seconds=strategies.sampled_from((0.001, 0.02, 0.3, 1, 2.5, 6)))
    def wait(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(slot=SLOTS, kind=strategies.integers(0, 3), lag=SLOTS)
    def submit(self, slot: int, kind: int, lag: int) -> None:
        """Guards against two winners, also with equal base versions."""
        node = self.node(slot)
        if not node.ready:
            return
        change_id = f'change-{len(self.submitted)}'
        config = node.core.state.config
        base = max(0, config.plans_version - lag // 3)
        change = builders.plans_change(change_id, base, weight=len(change_id))
        if kind == 3:
            drain = Drain(scope=DrainScope.upstream, name=f'u{lag}')
            change = Change.from_drain(change_id, drain)
        self.submitted.append(change)
        self.world.submit(node.name, change)
        if kind == 0:
            other = self.node(slot + 1)
            if other.ready:
                rival = builders.plans_change(f'{change_id}-rival', base, 7)
                self.submitted.append(rival)
                self.world.submit(other.name, rival)

    @rule(slot=SLOTS, which=strategies.integers(0, 50))
    def resend(self, slot: int, which: int) -> None:
        """Guards against a second, different answer."""
        if self.submitted and self.node(slot).ready:
            change = self.submitted[which % len(self.submitted)]
            self.world.submit(self.name(slot), change)

    @rule(slot=SLOTS)
    def crash(self, slot: int) -> None:
        if self.node(slot).alive:
            self.node(slot).crash()

    @rule()
    def crash_leader(self) -> None:
        leader = self.world.leader()
        if leader is not None:
            leader.crash()

    @rule(slot=SLOTS)
    def restart(self, slot: int) -> None:
        if not self.node(slot).alive:
            self.node(slot).start()

    @rule(slot=SLOTS)
    def lose_disk(self, slot: int) -> None:
        if self.node(slot).alive:
            self.node(slot).lose_disk()
            self.node(slot).start()

    @rule(slot=SLOTS)
    def pause(self, slot: int) -> None:
        self.node(slot).gate.clear()

    @rule()
    def pause_leader(self) -> None:
        leader = self.world.leader()
        if leader is not None:
            leader.gate.clear()

    @rule(slot=SLOTS)
    def resume(self, slot: int) -> None:
        self.node(slot).gate.set()

    @rule(source=SLOTS, target=SLOTS)
    def cut_one_way(self, source: int, target: int) -> None:
        self.world.network.cut.add((self.name(source), self.name(target)))

    @rule(slot=SLOTS)
    def isolate(self, slot: int) -> None:
        self.world.isolate(self.name(slot))

    @rule()
    def isolate_leader(self) -> None:
        leader = self.world.leader()
        if leader is not None:
            self.world.isolate(leader.name)

    @rule(
        delay_s=strategies.sampled_from((0.01, 0.3, 1.5)),
        loss=strategies.sampled_from((0, 0.1, 0.4)),
        duplicates=strategies.sampled_from((0, 0.3)),
    )
    def disturb(self, delay_s: float, loss: float, duplicates: float) -> None:
        network = self.world.network
        network.delay_s = delay_s
        network.loss = loss
        network.duplicates = duplicates

    @rule()
    def heal(self) -> None:
        self.world.heal()

    @rule(slot=SLOTS, full=strategies.booleans())
    def fill_disk(self, slot: int, full: bool) -> None:
        self.node(slot).disk.full = full

    @rule(slot=SLOTS, delay_s=strategies.sampled_from((0.002, 0.1, 0.8)))
    def slow_disk(self, slot: int, delay_s: float) -> None:
        self.node(slot).disk.delay_s = delay_s

    @invariant()
    def holds(self) -> None:
        """Guards every property that :meth:`World.check` lists."""
        if hasattr(self, 'world'):
            self.world.check()

    def teardown(self) -> None:
        """Guards against a group that stays without a leader."""
        if not hasattr(self, 'world'):
            return
        world = self.world
        try:
            world.recover()
            world.advance(40)
            if world.can_recover():
                self._make_progress()
        finally:
            world.close()

    def _make_progress(self) -> None:
        world = self.world
        leader = world.leader()
        assert leader is not None, 'no leader after recovery'
        assert world.voters() == set(world.names), 'not all are voters'
        drain = Drain(scope=DrainScope.upstream, name='last')
        outcome = world.decide(
            leader.name,
            Change.from_drain('last-change', drain),
        )
        assert isinstance(outcome, Accepted), outcome
        world.advance(3)
        for node in world.nodes.values():
            config = node.replica.committed()
            assert config is not None
            assert config.version == outcome.version


def test_invariants_under_faults():
    """Guards against reverted or doubly won changes under any faults."""
    machine = ControlMachine
    if FUZZ_EXAMPLES:
        number = random.SystemRandom().getrandbits(32)
        chosen = int(os.environ.get('CUMINHOIST_FUZZ_SEED', number))
        print(f'CUMINHOIST_FUZZ_SEED={chosen}')
        machine = seed(chosen)(ControlMachine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=FUZZ_EXAMPLES or 100,
            stateful_step_count=50,
            derandomize=not FUZZ_EXAMPLES,
            deadline=None,
            database=None,
            phases=(Phase.generate, Phase.shrink),
            suppress_health_check=list(HealthCheck),
        ),
    )
