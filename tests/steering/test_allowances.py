"""Tests of the token buckets of workspaces."""

import itertools
import random

import pytest

from cuminhoist.steering.allowances import (
    MAX_RETRY_AFTER_S,
    Allowances,
    BucketSize,
)
from cuminhoist.steering.decisions import Granted, RefusalReason, Refused
from tests.steering.builders import make_dispatcher, request

ACME = 'acme'


def _allowances(now=0.0, **size):
    allowances = Allowances(random.Random(1))
    values = {'rate_per_s': 10, 'capacity': 5, **size}
    allowances.set_sizes({ACME: BucketSize(**values)}, now)
    return allowances


def _admitted(allowances, times):
    return sum(allowances.admit(ACME, now) is None for now in times)


def _many(count, start=0.0, step=0.001):
    return [start + number * step for number in range(count)]


def test_new_dispatcher_has_no_burst():
    """Guards against a full burst from each dispatcher that takes over."""
    allowances = _allowances(start=1, capacity=50, rate_per_s=10)
    assert _admitted(allowances, _many(1000)) == 1 + 9


def test_idle_bucket_saves_its_capacity():
    """Guards against a workspace that is refused at its first requests."""
    allowances = _allowances()
    assert _admitted(allowances, [60.0] * 9) == 5


def test_workspace_without_limit_is_always_admitted():
    """Guards against a limit on workspaces that have none."""
    allowances = _allowances()
    assert all(allowances.admit('other', 0) is None for _ in range(100))
    assert [workspace for workspace, _ in allowances] == [ACME]


def test_changes_of_the_size_make_no_tokens():
    """Guards against tokens from sizes that change to and fro."""
    allowances = _allowances()
    assert _admitted(allowances, [60.0] * 9) == 5
    for capacity in (50, 5, 80, 1, 40):
        size = BucketSize(rate_per_s=10, capacity=capacity)
        allowances.set_size(ACME, size, 60.0)
    assert _admitted(allowances, [60.0] * 9) == 0


def test_lower_limit_is_in_force_at_once():
    """Guards against a burst that was saved under a higher limit."""
    allowances = _allowances(capacity=500)
    allowances.set_sizes({ACME: BucketSize(rate_per_s=1, capacity=2)}, 600)
    assert _admitted(allowances, [600.0] * 9) == 2


def test_limit_that_ends_is_dropped():
    """Guards against refusals by a limit that is no longer configured."""
    allowances = _allowances()
    allowances.set_sizes({}, 1)
    assert allowances.find(ACME) is None
    assert allowances.admit(ACME, 1) is None


def test_refund_returns_one_token_up_to_the_capacity():
    """Guards against refunds that save more than the burst."""
    allowances = _allowances()
    _admitted(allowances, [60.0] * 5)
    allowances.refund(ACME, 60.0)
    assert _admitted(allowances, [60.0] * 5) == 1
    for _ in range(100):
        allowances.refund(ACME, 60.0)
    assert _admitted(allowances, [60.0] * 9) == 5


def test_refused_callers_are_told_different_times():
    """Guards against callers that return together, and only to be refused."""
    allowances = _allowances(capacity=1)
    allowances.admit(ACME, 60)
    waits = [allowances.admit(ACME, 60.0) for _ in range(15)]
    assert waits[0] >= 0.1
    assert all(
        later - earlier > 0 for earlier, later in itertools.pairwise(waits)
    )
    # One token arrives for each of them.
    assert waits[-1] == pytest.approx(1.5, abs=0.2)


def test_told_times_are_bounded():
    """Guards against callers that are sent away for minutes."""
    allowances = _allowances(capacity=1)
    waits = [allowances.admit(ACME, 0.0) for _ in range(1000)]
    slow = _allowances(rate_per_s=0.01)
    waits.extend(slow.admit(ACME, 0.0) for _ in range(10))
    assert max(waits) <= MAX_RETRY_AFTER_S + 0.1
    assert min(waits) > 0


def test_tokens_saved_while_frozen_are_dropped():
    """Guards against a full burst from a dispatcher that was replaced."""
    allowances = _allowances(capacity=100)
    allowances.keep(0.0, 0.5)
    assert _admitted(allowances, [30.0] * 50) == 0


def test_bucket_does_not_fill_while_frozen():
    """Guards against tokens for a time in which entry instances decided
    themselves, as the dispatcher did not answer."""
    allowances = _allowances(capacity=100)
    allowances.keep(0.0, 0.5)
    allowances.keep(0.5, 0.5)
    assert _admitted(allowances, [1.5] * 50) == 5
    assert _admitted(allowances, [1.9] * 50) == 4


def test_repeated_starts_get_their_tokens_once():
    """Guards against tokens from an instance that changes its dispatcher
    with each request."""
    allowances = _allowances(start=3, rate_per_s=0.001)
    allowances.restart(60)
    admitted = 0
    for now in _many(100, start=60.0):
        admitted += _admitted(allowances, [now])
        allowances.restart(now)
    assert admitted == 3


def test_demand_follows_the_requests():
    """Guards against shares that follow requests of long ago."""
    allowances = _allowances(smoothing_s=0.2)
    _admitted(allowances, _many(300, step=0.01))
    bucket = allowances.find(ACME)
    assert bucket.demand_per_s(3.0) == pytest.approx(100, rel=0.1)
    assert bucket.demand_per_s(4.0) < 1
    assert bucket.used + bucket.refused == 300


def _limited_dispatcher(capacity, **changes):
    dispatcher = make_dispatcher(**changes)
    size = BucketSize(rate_per_s=0.001, capacity=capacity, start=capacity)
    dispatcher.allowances.set_sizes({ACME: size}, 0)
    return dispatcher


def test_dispatcher_refuses_over_the_allowance():
    """Guards against requests over the allowance that take slots."""
    dispatcher = _limited_dispatcher(1, count=4)
    first = dispatcher.decide_or_queue('e', request(1, workspace=ACME), 0)
    second = dispatcher.decide_or_queue('e', request(2, workspace=ACME), 0)
    assert isinstance(first, Granted)
    assert isinstance(second, Refused)
    assert second.reason is RefusalReason.over_allowance
    assert second.retry_after_s > 0
    other = dispatcher.decide_or_queue('e', request(3), 0)
    assert isinstance(other, Granted)


def test_only_the_first_placement_is_charged():
    """Guards against a request that ran once and is refused as a repeat."""
    dispatcher = _limited_dispatcher(1, count=4)
    dispatcher.decide_or_queue('e', request(1, workspace=ACME), 0)
    again = request(2, workspace=ACME, excluded=('t0',))
    assert isinstance(dispatcher.decide_or_queue('e', again, 0), Granted)


def test_refused_and_withdrawn_requests_are_not_charged():
    """Guards against an allowance that is used up by requests without run."""
    dispatcher = _limited_dispatcher(2, count=1)
    bucket = dispatcher.allowances.find(ACME)
    late = {'objective_left_s': 0.01}
    dispatcher.decide_or_queue('e', request(1), 0)
    refused = dispatcher.decide_or_queue(
        'e', request(2, workspace=ACME, **late), 0
    )
    assert refused.reason is RefusalReason.overload
    assert bucket.tokens(0) == 2
    waiting = request(3, workspace=ACME, objective_left_s=5)
    assert dispatcher.decide_or_queue('e', waiting, 0) is None
    assert bucket.tokens(0) == 1
    dispatcher.withdraw('e', 3, waiting.service, 0)
    assert bucket.tokens(0) == 2


def test_waiting_request_that_is_refused_is_not_charged():
    """Guards against tokens that are lost with requests that waited."""
    dispatcher = _limited_dispatcher(2, count=1)
    dispatcher.decide_or_queue('e', request(1), 0)
    waiting = request(2, workspace=ACME, objective_left_s=0.4)
    assert dispatcher.decide_or_queue('e', waiting, 0) is None
    decided = dispatcher.decide_waiting(1.0)
    assert [type(decision) for _, decision in decided] == [Refused]
    assert dispatcher.allowances.find(ACME).tokens(0) == 2
