"""Tests of slot counting, choice of a target, and ejection.

They guard against more requests at a target than it has slots, and against
failures that attract requests to a target or eject too many targets.
"""

import pytest
from hypothesis import given, settings, strategies

from cuminhoist.clock import ManualClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.config_model import Configuration, Drain
from cuminhoist.exceptions import InvariantError
from cuminhoist.health import (
    EJECT_AFTER_FAILURES,
    FAILING_WINDOW_S,
    SLOW_START_STEP_S,
    TargetHealth,
)
from cuminhoist.heartbeats import Handover
from cuminhoist.membership import Membership
from cuminhoist.slot_table import SlotTable
from cuminhoist.slots import SlotOutcome
from cuminhoist.types import DrainScope

from .builders_ownership import cell_topology

MARGIN_S = 0.5
OUTCOMES = list(SlotOutcome)


class OwnAll:
    """Ownership of all targets of a topology."""

    def __init__(self, topology):
        self.held = {target.name for target in topology.targets}

    def holds_lease(self):
        return True

    def owns(self, target):
        return target in self.held


class Bench:
    """A slot table on a manual clock whose instance owns all targets."""

    def __init__(self, targets=4):
        self.clock = ManualClock()
        self.config = ConfigInForce()
        topology = cell_topology(1, targets)
        self.membership = Membership(topology, 'e0', self.clock, self.config)
        self.table = SlotTable(topology, self.membership, self.clock)
        self.table.attach_ownership(OwnAll(topology))

    def take(self, seconds=2.0, exclude=frozenset()):
        deadline_at = self.clock.now() + seconds
        return self.table.try_acquire('svc', deadline_at, exclude)

    def drain(self, version, *names):
        drains = tuple(
            Drain(scope=DrainScope.upstream, name=name) for name in names
        )
        self.config.replace_if_newer(
            Configuration(version=version, drains=drains)
        )

    def use_at(self, name, outcome, latency_s=0.01):
        """Send a request to a target; return whether it had a free slot."""
        others = {f't{number}' for number in range(8)} - {name}
        slot = self.take(exclude=frozenset(others))
        if slot is not None:
            slot.release(outcome, latency_s)
        return slot is not None


@pytest.mark.parametrize('outcome', OUTCOMES)
def test_slot_is_free_only_when_the_target_is_done(outcome):
    """Guards against use of a slot while its former request may still run."""
    bench = Bench(1)
    slots = [bench.take() for _ in range(4)]
    assert slots[3] is None
    bench.clock.advance(1)
    slots[0].release(outcome, 1)
    slots[0].release(SlotOutcome.answered, 1)
    is_done = outcome != SlotOutcome.unknown
    assert bench.table.free_slots('svc') == int(is_done)
    bench.clock.advance(1 + MARGIN_S - 0.01)
    assert bench.table.free_slots('svc') == int(is_done)
    bench.clock.advance(0.02)
    assert bench.table.free_slots('svc') == 1


def test_deadline_beyond_the_quarantine_is_an_error():
    """Guards against requests that still run after a crash's quarantine."""
    with pytest.raises(InvariantError):
        Bench().take(2.5)


def test_listener_is_called_for_freed_slots():
    """Guards against queued requests that wait beside a free slot."""
    bench, calls = Bench(1), []
    bench.table.on_free(calls.append)
    bench.take().release(SlotOutcome.answered, 0.1)
    assert calls == ['svc']
    for _ in range(3):
        bench.take().release(SlotOutcome.unknown, 0.1)
    assert calls == ['svc']
    bench.table.notify_freed_slots()
    assert calls == ['svc']
    bench.clock.advance(3)
    bench.table.notify_freed_slots()
    assert calls == ['svc', 'svc']


def test_drained_target_gets_no_new_work_and_returns_slowly():
    """Guards against requests to a drained target, and too many after it.

    The target's cache may be empty when the drain ends.
    """
    bench = Bench(2)
    running = [bench.take() for _ in range(2)]
    bench.drain(1, 't0')
    assert [bench.take().target.name for _ in range(2)] == ['t1', 't1']
    assert bench.take() is None
    for slot in running:
        slot.release(SlotOutcome.answered, 0.1)
    bench.drain(2)
    bench.table.notify_freed_slots()
    for expected in (1, 2, 3):
        assert bench.table.state('t0').usable(bench.clock.now()) == expected
        bench.clock.advance(SLOW_START_STEP_S)


def test_leaving_signal_stops_new_work():
    """Guards against requests to a target that sent the leaving signal."""
    bench = Bench(1)
    bench.membership.mark_target_leaving('t0')
    assert bench.take() is None
    bench.membership.clear_target_leaving('t0')
    bench.table.notify_freed_slots()
    assert bench.take() is not None


def test_fast_errors_attract_no_traffic():
    """Guards against a failing target that attracts requests.

    Its fast errors free slots sooner than the answers of other targets do.
    """
    bench = Bench(3)
    chosen = []
    for _ in range(60):
        slot = bench.take()
        chosen.append(slot.target.name)
        if slot.target.name == 't0':
            slot.release(SlotOutcome.failed, 0.001)
        else:
            slot.release(SlotOutcome.answered, 0.2)
        bench.clock.advance(0.05)
    assert chosen.count('t0') <= EJECT_AFTER_FAILURES


def test_ejection_grows_and_spares_half():
    """Guards against failures that eject more than half of the targets."""
    bench = Bench(4)
    for name in ('t0', 't1', 't2', 't3'):
        for _ in range(EJECT_AFTER_FAILURES):
            bench.use_at(name, SlotOutcome.failed)
    now = bench.clock.now()
    states = [bench.table.state(f't{number}') for number in range(4)]
    assert [state.health.is_ejected(now) for state in states].count(True) == 2
    assert [state.usable(now) for state in states] == [0, 0, 1, 1]
    health, lengths_s = TargetHealth(), []
    for _ in range(8):
        health.eject(now, allowed=True)
        lengths_s.append(health.ejected_until - now)
    assert lengths_s == [2, 4, 8, 16, 32, 60, 60, 60]


def test_unknown_outcomes_eject_nothing():
    """Guards against cancelled requests that count as failures of a target."""
    bench = Bench(2)
    for _ in range(20):
        bench.use_at('t0', SlotOutcome.unknown)
        bench.use_at('t0', SlotOutcome.not_run, 0)
        bench.clock.advance(3)
    assert not bench.table.state('t0').health.is_ejected(bench.clock.now())


@pytest.mark.parametrize(
    'reports,fresh',
    [
        ([(7, None)], False),
        ([(7, None), (7, None)], False),
        ([(7, None), (8, None)], True),
        ([(7, 1)], True),
        ([(7, 90000), (8, 90001)], False),
        ([(7, -90000)], False),
    ],
)
def test_stale_load_reports_are_ignored(reports, fresh):
    """Guards against use of a load that a target reports unchanged.

    The clock of such a target may also be a day (90000 s) off.
    """
    health = TargetHealth()
    for load, age_s in reports:
        health.record_load(load, 100, age_s)
    assert bool(health.fresh_load(100)) == fresh
    assert health.fresh_load(106) == 0


def test_handover_keeps_slots_unused():
    """Guards against a new owner that uses slots of running requests.

    The former owner has one request running and one with unknown outcome.
    """
    former, new = Bench(1), Bench(1)
    former.take()
    former.take().release(SlotOutcome.unknown, 0.1)
    handover = former.table.handover_state('t0')
    assert handover == Handover(2, 2 + MARGIN_S)
    new.table.take_over('t0', handover)
    assert new.table.free_slots('svc') == 1
    assert new.table.handover_state('t0').running == 2
    new.clock.advance(2 + MARGIN_S)
    assert new.table.free_slots('svc') == 3


class NaiveChoice:
    """Reference choice that computes each key from the history of outcomes."""

    def __init__(self, bench, count):
        self.bench = bench
        self.events = {f't{number}': [] for number in range(count)}

    def latency(self, name):
        smoothed = None
        for _, outcome, latency_s in self.events[name]:
            if outcome == SlotOutcome.answered:
                smoothed = latency_s if smoothed is None else smoothed
                smoothed += 0.2 * (latency_s - smoothed)
        return smoothed

    def choose(self, running, quarantined_until):
        now = self.bench.clock.now()
        chosen = None
        for name, events in self.events.items():
            usable = 3 - sum(until > now for until in quarantined_until[name])
            if usable - running[name] <= 0:
                continue
            failing = any(
                now - ended_at < FAILING_WINDOW_S
                for ended_at, outcome, latency_s in events
                if outcome == SlotOutcome.unknown
                or (outcome == SlotOutcome.not_run and latency_s > 0)
            )
            measured, bucket = self.latency(name), 0
            if measured is not None:
                while 1e-4 * 1.25 ** (bucket + 1) <= measured:
                    bucket += 1
            key = (failing, running[name] / usable, bucket, name)
            chosen = key if chosen is None else min(chosen, key)
        return None if chosen is None else chosen[-1]


CHOICES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['take', 'take', 'end', 'time']),
        strategies.integers(0, 20),
        strategies.sampled_from([SlotOutcome.answered, SlotOutcome.unknown]),
        strategies.sampled_from([0.00103, 0.011, 0.0127, 0.3]),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(steps=CHOICES)
def test_choice_equals_the_naive_one(steps):
    """Guards against state that drifts from the history of a target."""
    bench = Bench(3)
    naive = NaiveChoice(bench, 3)
    taken, blocked = [], {f't{nr}': [] for nr in range(3)}
    for action, number, outcome, latency_s in steps:
        now = bench.clock.now()
        if action == 'take':
            running = {
                name: sum(slot.target.name == name for slot, _ in taken)
                for name in blocked
            }
            expected = naive.choose(running, blocked)
            slot = bench.take()
            assert (slot and slot.target.name) == expected
            if slot is not None:
                taken.append((slot, now + 2))
        elif action == 'end' and taken:
            slot, deadline_at = taken.pop(number % len(taken))
            if now >= deadline_at:
                outcome = SlotOutcome.answered
            slot.release(outcome, latency_s)
            naive.events[slot.target.name].append((now, outcome, latency_s))
            if outcome == SlotOutcome.unknown:
                blocked[slot.target.name].append(deadline_at + MARGIN_S)
        elif action == 'time':
            bench.clock.advance(number / 10)
