"""Tests of the index of waiting requests.

They guard against requests that are lost or served twice, and against scans
of the whole queue: with 10,000 waiting requests, a scan for each freed slot
took more than a millisecond.
"""

import random

from cuminhoist.steering.decisions import Ending, Granted
from cuminhoist.steering.placement import Option
from cuminhoist.steering.tracked_target import SlotPool, TrackedTarget
from cuminhoist.steering.waiting_request import WaitingRequest
from cuminhoist.steering.waiting_requests import (
    RECHECK_DELAY_S,
    WaitingRequests,
)

from .builders import (
    REGION,
    SERVICE,
    attempt_report,
    make_dispatcher,
    request,
    target,
)


def _target(name='t0', slots=1, pool=None):
    tracked = TrackedTarget(target(name, slots=slots), REGION)
    tracked.pool = pool or SlotPool(slots)
    return tracked


def _join(waiting_requests, tracked, number, entry='e', now=0, wait_s=0.1):
    waiting = WaitingRequest(entry, request(number), now)
    waiting_requests.join(waiting, Option(tracked, wait_s, wait_s), now)
    return waiting


def test_freed_slot_goes_to_the_first_request():
    """Guards against an order that is not the order of arrival."""
    requests, tracked = WaitingRequests(), _target()
    first, second = (_join(requests, tracked, number) for number in (1, 2))
    assert requests.next_for(tracked.pool, 0) is first
    requests.remove(first)
    assert requests.next_for(tracked.pool, 0) is second


def test_request_that_joins_again_keeps_its_place():
    """Guards against a recheck that sends a request to the end."""
    requests, tracked = WaitingRequests(), _target()
    first = _join(requests, tracked, 1)
    _join(requests, tracked, 2)
    requests.leave_target(first)
    requests.join(first, Option(tracked, 0.1, 0.1), 0)
    assert requests.next_for(tracked.pool, 0) is first


def test_full_target_is_passed_over():
    """Guards against a free slot that idles behind a full target."""
    pool = SlotPool(2)
    requests = WaitingRequests()
    full, free = _target(pool=pool), _target('t1', pool=pool)
    full.start('', 0)
    _join(requests, full, 1)
    second = _join(requests, free, 2)
    assert requests.next_for(pool, 0) is second


def test_freed_slot_of_a_pool_serves_its_other_targets():
    """Guards against slots of a pool that idle beside waiting requests."""
    pool = SlotPool(1)
    requests = WaitingRequests()
    busy, other = _target(pool=pool), _target('t1', pool=pool)
    busy.start('', 0)
    waiting = _join(requests, other, 1)
    assert requests.next_for(pool, 0) is None
    busy.end(Ending.answered, '', 1, 0)
    requests.update_slots(busy)
    assert requests.next_for(pool, 0) is waiting


def test_target_in_another_pool_is_found_there():
    """Guards against requests that wait for ever after slots were lent."""
    requests, tracked = WaitingRequests(), _target()
    waiting = _join(requests, tracked, 1)
    former, tracked.pool = tracked.pool, SlotPool(1)
    requests.update_all_slots()
    assert requests.next_for(former, 0) is None
    assert requests.next_for(tracked.pool, 0) is waiting


def test_due_requests_come_once_in_order_of_arrival():
    """Guards against rechecks that are lost, early or doubled."""
    requests, tracked = WaitingRequests(), _target()
    late = _join(requests, tracked, 1, wait_s=0.2)
    soon = _join(requests, tracked, 2, wait_s=0.1)
    assert requests.take_due(0.1) == []
    assert requests.take_due(0.1 + RECHECK_DELAY_S) == [soon]
    requests.recheck_target(tracked, 0.12)
    requests.recheck_target(tracked, 0.12)
    assert requests.take_due(0.12) == [late, soon]
    assert requests.take_due(9) == []


def test_removed_requests_are_not_found():
    """Guards against withdrawn requests that get a slot."""
    requests, tracked = WaitingRequests(), _target()
    waiting = _join(requests, tracked, 1)
    requests.remove(waiting)
    requests.remove(waiting)
    assert not requests
    assert requests.find('e', 1) is None
    assert requests.sent_by('e') == ()
    assert requests.next_for(tracked.pool, 0) is None
    assert requests.take_due(9) == []
    assert tracked.queued == 0


def test_requests_of_other_instances_stay():
    """Guards against a lost instance that takes others' requests along."""
    dispatcher = make_dispatcher(count=1, slots=2)
    for number in range(2):
        dispatcher.decide_or_queue('e', request(number), 0)
    dispatcher.decide_or_queue('lost', request(1), 0)
    dispatcher.decide_or_queue('e', request(3), 0)
    dispatcher.release_entry_instance('lost', 0)
    waiting = dispatcher.queue(SERVICE).waiting
    assert [entry.request.number for entry in waiting] == [3]


def test_random_steps_keep_every_request_once():
    """Guards against requests that are lost, stuck or decided twice.

    Every request must be granted, refused or withdrawn exactly once, and the
    counters of the targets must fall to zero.
    """
    rng = random.Random(7)
    dispatcher = make_dispatcher(count=5, slots=2)
    open_numbers, granted, now = set(), {}, 0

    def settle(decisions):
        for _, decision in decisions:
            open_numbers.remove(decision.number)
            if isinstance(decision, Granted):
                granted[decision.number] = decision

    for number in range(3000):
        now += rng.expovariate(200)
        open_numbers.add(number)
        decision = dispatcher.decide_or_queue(
            'e', request(number, f'k{rng.randrange(9)}'), now
        )
        settle([('e', decision)] if decision else [])
        if granted and rng.random() < 0.8:
            report = attempt_report(granted.pop(rng.choice(list(granted))))
            settle(dispatcher.end_attempt('e', report, now))
        if open_numbers and rng.random() < 0.05:
            withdrawn = rng.choice(sorted(open_numbers))
            open_numbers.remove(withdrawn)
            dispatcher.withdraw('e', withdrawn, SERVICE, now)
        settle(dispatcher.decide_waiting(now))
    for grant in list(granted.values()):
        settle(dispatcher.end_attempt('e', attempt_report(grant), now))
    settle(dispatcher.decide_waiting(now + 9))
    assert not open_numbers
    assert not dispatcher.has_waiting()
    targets = dispatcher.queue(SERVICE).targets.values()
    assert all(tracked.queued == 0 for tracked in targets)
