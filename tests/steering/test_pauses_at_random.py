"""Random placements, pauses, restarts and list changes in one dispatcher."""

import random

import pytest

from cuminhoist.steering.decisions import Ending, Granted
from cuminhoist.steering.tracked_target import TrackedTarget

from .builders import REGION, SERVICE, attempt_report, make_dispatcher, request
from .builders import target as target_entry

_INSTANCES = ('e1', 'e2', 'e3')
_STEP_COUNT = 600
_STEP_S = 0.01


class _Run:
    """A dispatcher and what its entry instances know.

    :param seed: seed of the random choices.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)  # noqa: S311
        self.dispatcher = make_dispatcher(count=4, slots=2)
        self.starts = dict.fromkeys(('t0', 't1', 't2', 't3'), 1)
        self.running = []
        self.paused_until = {}
        self.granted_count = 0
        self.now = 0.0

    def step(self, number):
        """Do one random thing and check the decisions that follow."""
        self.now += _STEP_S
        chance = self.random.random()
        if chance < 0.6:
            self._request(number)
        elif chance < 0.9 and self.running:
            self._end_attempt()
        elif chance < 0.95:
            self._replace_list()
        self._handle(self.dispatcher.decide_waiting(self.now))

    def _request(self, number):
        instance = self.random.choice(_INSTANCES)
        req = request(number, key=self.random.choice(('', 'k1', 'k2')))
        decision = self.dispatcher.decide_or_queue(instance, req, self.now)
        if decision is not None:
            self._handle([(instance, decision)])

    def _end_attempt(self):
        index = self.random.randrange(len(self.running))
        instance, granted, started_at_ms = self.running.pop(index)
        pause_s = self.random.choice((0, 0, 0, 0.5, 1.5))
        if pause_s and started_at_ms == self.starts[granted.target]:
            key = (instance, granted.target)
            ends_at = self.now + pause_s
            self.paused_until[key] = max(self.paused_until.get(key, 0), ends_at)
        report = attempt_report(
            granted,
            ending=Ending.shed if pause_s else Ending.answered,
            pause_s=pause_s,
            target_started_at_ms=started_at_ms,
        )
        self._handle(self.dispatcher.end_attempt(instance, report, self.now))

    def _replace_list(self):
        name = self.random.choice(sorted(self.starts))
        if self.random.random() < 0.3:
            self.starts[name] += 1
            for instance in _INSTANCES:
                self.paused_until.pop((instance, name), None)
        tracked = {}
        for listed, start in self.starts.items():
            entry = target_entry(listed, slots=2, started_at_ms=start)
            tracked[listed] = TrackedTarget(entry, REGION)
        if self.random.random() < 0.3:
            tracked.pop(name)
        self.dispatcher.set_targets(SERVICE, tracked, REGION, self.now)

    def _handle(self, decisions):
        for instance, decision in decisions:
            if isinstance(decision, Granted):
                name = decision.target
                self.granted_count += 1
                assert self.now >= self.paused_until.get((instance, name), 0)
                self.running.append((instance, decision, self.starts[name]))


@pytest.mark.parametrize('seed', range(20))
def test_no_grant_of_a_paused_target(seed):
    """Guards against a way to a paused target that no other test takes."""
    run = _Run(seed)
    for number in range(_STEP_COUNT):
        run.step(number)
    assert run.granted_count > _STEP_COUNT / 10
