"""Tests of the order of waiting requests by priority and workspace.

They guard against urgent requests that are refused or wait while less urgent
ones get the slots (0.42 of the urgent ones were served in three-classes, and
0.99 of the least urgent), and against a workspace that takes all slots.
"""

from cuminhoist.steering.decisions import Granted, Refused
from cuminhoist.steering.service_order import (
    FLOOR_PRIORITY,
    MAX_WORKSPACES,
    MEMORY_S,
    REFRESH_S,
    ServiceOrder,
)

from .builders import attempt_report, make_dispatcher, request


def _mixed_dispatcher(**fields):
    """Return a dispatcher that has seen two ranks and has a busy slot."""
    dispatcher = make_dispatcher(count=1)
    other = request(1, priority=7, workspace='other')
    granted = dispatcher.decide_or_queue('e', other, 0)
    dispatcher.end_attempt('e', attempt_report(granted), 0)
    running = request(2, objective_left_s=9, **fields)
    return dispatcher, dispatcher.decide_or_queue('e', running, 0)


def _free(dispatcher, granted, now=0.01):
    decisions = dispatcher.end_attempt('e', attempt_report(granted), now)
    return [decision.number for _, decision in decisions]


def test_more_urgent_request_goes_first():
    """Guards against urgent requests behind less urgent ones."""
    dispatcher, granted = _mixed_dispatcher(priority=1)
    for number, priority in ((3, 2), (4, 0), (5, 1)):
        waiting = request(number, objective_left_s=9, priority=priority)
        assert dispatcher.decide_or_queue('e', waiting, 0) is None
    assert _free(dispatcher, granted) == [4]
    assert _free(dispatcher, Granted(4, 't0')) == [5]
    assert _free(dispatcher, Granted(5, 't0')) == [3]


def test_urgent_request_is_not_refused_for_less_urgent_ones():
    """Guards against an estimate that counts requests it goes before."""
    dispatcher, _ = _mixed_dispatcher(priority=1)
    for number in range(3, 20):
        waiting = request(number, objective_left_s=9, priority=2)
        assert dispatcher.decide_or_queue('e', waiting, 0) is None
    assert dispatcher.decide_or_queue('e', request(20), 0) is None
    usual = request(21, priority=2)
    assert isinstance(dispatcher.decide_or_queue('e', usual, 0), Refused)


def test_workspace_with_fewest_slots_goes_first():
    """Guards against a workspace that fills the queue and gets all slots."""
    dispatcher, granted = _mixed_dispatcher(workspace='large')
    for number in range(3, 9):
        waiting = request(number, objective_left_s=9, workspace='large')
        assert dispatcher.decide_or_queue('e', waiting, 0) is None
    waiting = request(9, objective_left_s=9, workspace='small')
    assert dispatcher.decide_or_queue('e', waiting, 0) is None
    dispatcher.queue('catalogue').targets['t0'].slots = 2
    # Neither holds a slot when the first one is granted.
    assert _free(dispatcher, granted) == [3, 9]


def test_request_that_can_be_in_time_goes_before_a_late_one():
    """Guards against slots for requests whose answer is late anyway."""
    dispatcher, granted = _mixed_dispatcher(priority=1)
    first = request(3, objective_left_s=0.2, priority=1)
    second = request(4, objective_left_s=9, priority=1)
    for waiting in (first, second):
        assert dispatcher.decide_or_queue('e', waiting, 0) is None
    assert _free(dispatcher, granted, now=0.15) == [4]


def test_order_of_arrival_without_ranks():
    """Guards against another order for services with a single rank."""
    dispatcher = make_dispatcher(count=1)
    granted = dispatcher.decide_or_queue('e', request(1), 0)
    for number, objective_left_s in ((2, 0.2), (3, 9)):
        waiting = request(number, objective_left_s=objective_left_s)
        assert dispatcher.decide_or_queue('e', waiting, 0) is None
    assert _free(dispatcher, granted, now=0.15) == [2]


def test_order_ends_with_the_last_other_rank():
    """Guards against an order for ranks that no request has any more."""
    order = ServiceOrder()
    order.count_arrival(request(1), 0)
    assert not order.is_active(0)
    order.count_arrival(request(2, priority=1), 1)
    order.count_arrival(request(3, priority=1), 2)
    assert order.is_active(2)
    assert not order.is_active(1 + MEMORY_S)


def test_part_below_its_floor_goes_first():
    """Guards against classes and workspaces that starve."""
    order = ServiceOrder()
    for number in range(100):
        now = number * 0.01
        order.count_arrival(request(2 * number), now)
        order.start(request(2 * number), now)
        starved = request(2 * number + 1, priority=2, workspace='w')
        order.count_arrival(starved, now)
    order.count_arrival(request(300), 1 + REFRESH_S)
    assert order.priority(2, '') == FLOOR_PRIORITY
    assert order.priority(0, 'w') == FLOOR_PRIORITY
    assert order.priority(0, '') == 0


def test_repeated_late_requests_count_for_no_floor():
    """Guards against callers that gain slots by returning often."""
    order = ServiceOrder()
    order.count_arrival(request(1, workspace='other'), 0)
    for number in range(100):
        now = number * 0.01
        order.count_arrival(request(number), now)
        order.start(request(number), now)
        late = request(0, objective_left_s=-0.1, workspace='w')
        order.count_arrival(late, now)
    order.count_arrival(request(300), 1 + REFRESH_S)
    assert order.priority(0, 'w') == 0


def test_urgent_late_request_waits_while_it_is_served_less_often():
    """Guards against urgent requests refused for less urgent ones."""
    dispatcher, _ = _mixed_dispatcher(priority=1)
    order = dispatcher.queue('catalogue').waiting.order
    for number in range(50):
        now = number * 0.01
        order.count_arrival(request(number), now)
        order.count_arrival(request(number, priority=2), now)
        order.start(request(number, priority=2), now)
    late = request(90, objective_left_s=0.01)
    assert dispatcher.decide_or_queue('e', late, 0.6) is None
    less_urgent = request(91, objective_left_s=0.01, priority=2)
    decision = dispatcher.decide_or_queue('e', less_urgent, 0.6)
    assert isinstance(decision, Refused)


def test_overtaken_request_is_refused_at_once():
    """Guards against requests that wait although they are late by then.

    Urgent requests that go before them take the slots they wait for.
    """
    dispatcher, _ = _mixed_dispatcher(priority=1)
    overtaken = request(3, objective_left_s=0.24, priority=2)
    assert dispatcher.decide_or_queue('e', overtaken, 0) is None
    for number in range(4, 7):
        urgent = request(number, objective_left_s=9)
        assert dispatcher.decide_or_queue('e', urgent, 0) is None
    decisions = [decision for _, decision in dispatcher.decide_waiting(0)]
    assert [decision.number for decision in decisions] == [3]
    assert isinstance(decisions[0], Refused)


def test_refused_callers_return_spread_and_urgent_ones_first():
    """Guards against refused callers that return together or too late.

    Callers wait for at most a third of the time that they have left.
    """
    order = ServiceOrder()
    for number in range(4):
        order.count_arrival(request(number, priority=number % 2), 0)
    urgent, other = (
        [order.spread_retry_s(priority, 0.05, 3) for _ in range(20)]
        for priority in (0, 1)
    )
    assert max(urgent) <= min(other)
    assert max(other) <= 1
    gaps = sorted(urgent)
    assert min(b - a for a, b in zip(gaps, gaps[1:], strict=False)) > 0
    assert order.spread_retry_s(0, 2, 3) == 2


def test_counts_are_bounded():
    """Guards against memory that grows with the names of workspaces."""
    order = ServiceOrder()
    for number in range(MAX_WORKSPACES + 100):
        order.count_arrival(request(number, workspace=f'w{number}'), 0)
    assert len(order._by_workspace) <= MAX_WORKSPACES
    order.count_arrival(request(1), MEMORY_S + 1)
    assert not order._by_workspace
