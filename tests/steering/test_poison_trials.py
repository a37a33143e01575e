"""Tests of the turns in which poison requests are tried again.

They guard against a verdict that stands although the targets ended for
another cause, and against trials that end target after target.
"""

from cuminhoist.steering.poison_requests import (
    MAX_ENDED_TARGETS,
    MAX_REQUESTS,
    REMEMBERED_S,
)
from cuminhoist.steering.poison_trials import (
    FIRST_TRIAL_DELAY_S,
    TURN_S,
    PoisonTrials,
)


def test_trials_of_a_poison_request_are_bounded():
    """Guards against tries beyond the three that callers accept (BUDGET).

    Ten instances get the request each second, and each trial ends a target,
    which all of them know a second later.
    """
    instances = [PoisonTrials() for _ in range(10)]
    ended, ended_at, sent = MAX_ENDED_TARGETS, 0, 0
    for now in range(int(REMEMBERED_S)):
        known = (ended, ended_at)
        for rank, trials in enumerate(instances):
            if trials.claim('p', *known, rank, now):
                sent += 1
                ended, ended_at = ended + 1, now
    assert sent == 2


def test_next_instance_has_its_turn():
    """Guards against a verdict that stands as the first one gets no try."""
    trials = PoisonTrials()
    due_at = FIRST_TRIAL_DELAY_S + 2 * TURN_S
    assert not trials.claim('p', MAX_ENDED_TARGETS, 0, 2, due_at - 0.1)
    assert trials.claim('p', MAX_ENDED_TARGETS, 0, 2, due_at)
    assert not trials.claim('p', MAX_ENDED_TARGETS, 0, 2, due_at + 1)


def test_trial_without_a_target_is_given_back():
    """Guards against a trial that an overload uses up."""
    trials = PoisonTrials()
    assert trials.claim('p', MAX_ENDED_TARGETS, 0, 0, FIRST_TRIAL_DELAY_S)
    trials.cancel('p')
    assert trials.claim('p', MAX_ENDED_TARGETS, 0, 0, FIRST_TRIAL_DELAY_S)


def test_trials_are_forgotten():
    """Guards against memory that grows with each trial."""
    trials = PoisonTrials()
    for number in range(MAX_REQUESTS + 10):
        trials.claim(f'p{number}', MAX_ENDED_TARGETS, 0, 0, FIRST_TRIAL_DELAY_S)
    assert len(trials._tried_at) == MAX_REQUESTS


def test_many_ends_leave_no_trial():
    """Guards against a delay that is out of range after many ends."""
    trials = PoisonTrials()
    assert not trials.claim('p', 10_000, 0, 0, REMEMBERED_S)
