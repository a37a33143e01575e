"""Tests of fair queueing: weights, size limits, deadlines and memory.

They guard against callers that get less than their weight because others send
more, and against memory that grows with callers and cancellations.
"""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist.clock import ManualClock
from cuminhoist.fairqueue import (
    MIN_STALE_TO_COMPACT,
    FairQueue,
    QueueFull,
    QueuedRequest,
    WaitTooLong,
)

MAX_COST = 4


def _never_evict(entry):
    raise AssertionError(entry)


def _push(queue, caller, cost=1, weight=1, deadline_at=math.inf, evict=None):
    entry = QueuedRequest(caller, cost, deadline_at, None)
    refusal = queue.push(entry, weight, evict or _never_evict)
    return refusal or entry


def fluid_service(backlogs, weights, work):
    """Divide work among flows by weight, as an ideal fluid queue does.

    What a flow does not need goes to the others.
    """
    served = dict.fromkeys(backlogs, 0.0)
    while work > 1e-12:
        active = {f for f in backlogs if backlogs[f] - served[f] > 1e-12}
        if not active:
            break
        total = sum(weights[flow] for flow in active)
        amount = min(
            work,
            *((backlogs[f] - served[f]) * total / weights[f] for f in active),
        )
        for flow in active:
            served[flow] += amount * weights[flow] / total
        work -= amount
    return served


_flows = st.lists(
    st.tuples(
        st.sampled_from([0.5, 1, 2, 4]),
        st.lists(st.integers(1, MAX_COST), min_size=1, max_size=30),
    ),
    min_size=1,
    max_size=6,
)


@given(_flows, st.data())
@settings(max_examples=300, deadline=None, derandomize=True)
def test_shares_match_the_fluid_model(flows, data):
    """Guards against a caller that gets less than its plan's weight."""
    queue = FairQueue(ManualClock())
    names = [f'c{turn}' for turn in range(len(flows))]
    weights = {n: flow[0] for n, flow in zip(names, flows, strict=True)}
    costs = {n: list(flow[1]) for n, flow in zip(names, flows, strict=True)}
    while any(costs.values()):
        left = [name for name in names if costs[name]]
        name = data.draw(st.sampled_from(left))
        _push(queue, name, costs[name].pop(0), weights[name])
    backlogs = {n: sum(flow[1]) for n, flow in zip(names, flows, strict=True)}
    served = dict.fromkeys(names, 0.0)
    while (entry := queue.pop()) is not None:
        served[entry.caller] += entry.cost
        fluid = fluid_service(backlogs, weights, sum(served.values()))
        total = sum(weights.values())
        for name in names:
            # One request of the flow, plus its share of one request of
            # each flow: the bound of start-time fair queueing.
            bound = MAX_COST + weights[name] / total * MAX_COST * len(names)
            assert abs(served[name] - fluid[name]) <= bound + 1e-9
    assert not len(queue) and not queue.flow_count


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(1, MAX_COST), st.booleans()),
        min_size=30,
        max_size=120,
    ),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_share_is_restored_at_once(steps):
    """Guards against shares that depend on past use.

    A caller must neither be penalised for service that it got while others
    were idle, nor save up service while it is idle.
    """
    queue = FairQueue(ManualClock())
    weights = {'c0': 1, 'c1': 2, 'c2': 4}
    # Callers start and stop at random; then all have requests queued.
    for turn, cost, pop in steps:
        _push(queue, f'c{turn}', cost, weights[f'c{turn}'])
        if pop:
            queue.pop()
    for name, weight in weights.items():
        for _ in range(60):
            _push(queue, name, 1, weight)
    served = dict.fromkeys(weights, 0.0)
    for count in range(1, 61):
        entry = queue.pop()
        served[entry.caller] += entry.cost
        work = sum(served.values())
        for name, weight in weights.items():
            fair = work * weight / 7
            assert served[name] >= fair - 2 * MAX_COST - weight / 7 * 8, count


def test_caller_gains_nothing_by_sending_one_at_a_time():
    """Guards against flows that are dropped too early.

    A caller whose flow is dropped when its queue empties would start anew with
    each request and get more than its share.
    """
    queue = FairQueue(ManualClock())
    for _ in range(200):
        _push(queue, 'steady')
    served = {'steady': 0, 'single': 0}
    _push(queue, 'single', MAX_COST)
    for _ in range(200):
        entry = queue.pop()
        served[entry.caller] += entry.cost
        if entry.caller == 'single':
            _push(queue, 'single', MAX_COST)
        assert served['single'] <= served['steady'] + 2 * MAX_COST


def test_size_limits_and_eviction():
    """Guards against callers that fill the queue and keep others out."""
    queue = FairQueue(ManualClock(), max_per_caller=4, max_total=6)
    for _ in range(4):
        _push(queue, 'c0')
    assert isinstance(_push(queue, 'c0'), QueueFull)
    _push(queue, 'c1')
    _push(queue, 'c1')
    evicted = []
    late = _push(queue, 'c2', evict=evicted.append)
    assert late.is_queued and len(queue) == 6
    assert [entry.caller for entry in evicted] == ['c0']
    assert isinstance(_push(queue, 'c1', evict=evicted.append), QueueFull)


def test_estimated_wait_beyond_the_deadline_is_refused_at_once():
    """Guards against requests that are queued although they will expire."""
    clock = ManualClock()
    queue = FairQueue(clock)
    for _ in range(50):
        _push(queue, 'c0')
    for _ in range(20):
        clock.advance(0.1)
        queue.pop()
    assert abs(queue.dequeue_per_s - 10) < 0.5
    refusal = _push(queue, 'c0', deadline_at=clock.now() + 1)
    assert isinstance(refusal, WaitTooLong)
    assert abs(refusal.wait_s - 3.1) < 0.2
    assert abs(refusal.retry_after_s - 2.1) < 0.2
    # Another caller has its own share and does not wait behind c0.
    assert _push(queue, 'c1', deadline_at=clock.now() + 1).is_queued


def test_no_estimate_before_the_first_slots_are_released():
    """Guards against refusing all requests before the first dispatches.

    The dequeue rate is then zero, although the targets are only slow.
    """
    clock = ManualClock()
    queue = FairQueue(clock)
    _push(queue, 'c0')
    clock.advance(1)
    assert _push(queue, 'c0', deadline_at=clock.now() + 2).is_queued


def test_expired_requests_leave_the_queue():
    """Guards against requests that expire but are refused only at dispatch."""
    clock = ManualClock()
    queue = FairQueue(clock)
    first = _push(queue, 'c0', deadline_at=clock.now() + 2)
    second = _push(queue, 'c0', deadline_at=clock.now() + 1)
    assert queue.next_deadline() == clock.now() + 1
    clock.advance(1)
    assert list(queue.pop_expired()) == [second]
    assert queue.pop() is first and queue.pop() is None


@given(st.integers(0, 2**32))
@settings(max_examples=20, deadline=None, derandomize=True)
def test_removed_requests_leave_no_memory(seed):
    """Guards against memory that grows with callers and cancellations."""
    import random

    rng = random.Random(seed)
    queue = FairQueue(ManualClock())
    remaining = _push(queue, 'remaining')
    waiting = []
    for turn in range(3000):
        waiting.append(_push(queue, f'c{turn % 700}', deadline_at=1e9 + turn))
        if len(waiting) > 20:
            removed = waiting.pop(rng.randrange(len(waiting)))
            assert queue.remove(removed) and not queue.remove(removed)
    bound = 2 * len(queue) + MIN_STALE_TO_COMPACT + 1
    assert len(queue._deadlines) <= bound
    assert len(queue._heads) <= 2 * queue.flow_count + MIN_STALE_TO_COMPACT + 1
    assert queue.flow_count <= len(queue)
    for entry in waiting:
        queue.remove(entry)
    assert queue.pop() is remaining and queue.flow_count == 0
