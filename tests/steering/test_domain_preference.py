"""Tests of keeping requests in the failure domain of their entry instance.

They guard against answers that cross between failure domains without need,
and against late answers for the sake of a failure domain.
"""

import pytest

from cuminhoist.steering.decisions import Granted
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.tracked_target import TrackedTarget

from .builders import REGION, SERVICE, attempt_report, request, target

DOMAINS = ('south-a', 'south-b')


def _dispatcher(per_domain=4, slots=1, cache_capacity=14.0):
    dispatcher = Dispatcher()
    targets = {}
    for domain in DOMAINS:
        for number in range(per_domain):
            name = f'{domain}-{number}'
            entry = target(name, domain=domain, slots=slots)
            targets[name] = TrackedTarget(entry, REGION)
            targets[name].untried = False
    dispatcher.set_targets(SERVICE, targets, REGION)
    times = dispatcher.queue(SERVICE).run_times
    times.hit_run_s, times.miss_run_s = 0.07, 0.24
    times.cache_capacity = cache_capacity
    return dispatcher


def _serve(dispatcher, number, key, domain, now, **fields):
    """Return the failure domain that serves a request, which ends at once."""
    placed = dispatcher.decide_or_queue(
        'e', request(number, key, domain=domain, **fields), now
    )
    assert isinstance(placed, Granted)
    dispatcher.end_attempt('e', attempt_report(placed, key=key), now)
    return placed.target.rpartition('-')[0]


@pytest.mark.parametrize('domain', DOMAINS)
def test_requests_stay_in_their_domain(domain):
    """Guards against targets in other domains while the own one has room."""
    dispatcher = _dispatcher()
    served_by = {
        _serve(dispatcher, number, f'k{number % 20}', domain, 1 + number)
        for number in range(100)
    }
    assert served_by == {domain}


def test_answer_in_time_goes_before_the_own_domain():
    """Guards against a late answer while another domain has the object."""
    dispatcher = _dispatcher()
    _serve(dispatcher, 1, 'k', 'south-b', 1)
    in_time = _serve(dispatcher, 2, 'k', 'south-a', 2, objective_left_s=0.15)
    assert in_time == 'south-b'


def test_late_request_stays_in_its_domain():
    """Guards against crossing domains for an answer that is late anyway."""
    dispatcher = _dispatcher()
    _serve(dispatcher, 1, 'k', 'south-b', 1)
    late = _serve(dispatcher, 2, 'k', 'south-a', 2, objective_left_s=-0.1)
    assert late == 'south-a'


def test_full_domain_is_left():
    """Guards against waiting in a full domain beside a free one."""
    dispatcher = _dispatcher(per_domain=1)
    first = dispatcher.decide_or_queue(
        'e', request(1, 'k', domain='south-a'), 1
    )
    second = dispatcher.decide_or_queue(
        'e', request(2, 'm', domain='south-a'), 1
    )
    assert first.target == 'south-a-0'
    assert second.target == 'south-b-0'


def test_small_domains_share_their_caches():
    """Guards against caches that evict each other's objects in each domain.

    Two domains whose caches hold half of the objects each would both load all
    objects again and again.
    """
    dispatcher = _dispatcher(per_domain=1, slots=3, cache_capacity=6)
    now = 1.0
    for number in range(400):
        now += 0.5
        _serve(
            dispatcher,
            number,
            f'k{number % 11}',
            DOMAINS[number % 2],
            now,
            objective_left_s=0.2,
        )
    placement = dispatcher.queue(SERVICE).placement
    held_twice = [
        key
        for key, holders in placement.history.holders.items()
        if len(holders) > 1
    ]
    assert len(held_twice) <= 2


def test_no_domain_means_no_preference():
    """Guards against a change where a deployment does not ask for it."""
    dispatcher = _dispatcher()
    served_by = {
        _serve(dispatcher, number, f'k{number}', '', 1 + number)
        for number in range(40)
    }
    assert served_by == set(DOMAINS)
