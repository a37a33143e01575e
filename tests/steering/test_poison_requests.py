"""Tests of requests that end the targets that run them.

They guard against such a request that is sent on because each instance counts
by itself, and against harmless requests that are taken for the cause.
"""

import itertools
import random

from hypothesis import given
from hypothesis import strategies as st

from cuminhoist.steering.poison_requests import (
    MAX_REQUESTS,
    REMEMBERED_S,
    Fingerprint,
    PoisonRequests,
    TargetEnd,
)


def _request(content, caller='c'):
    return Fingerprint(content, f'{content}/{caller}')


def _ends(content, *targets, caller='c'):
    request = _request(content, caller)
    return [TargetEnd(request, target, 1) for target in targets]


def _known(*groups):
    known = PoisonRequests()
    for ends in groups:
        known.record(ends, 0)
    return known


def test_third_ended_target_makes_a_request_poison():
    """Guards against a request that goes on from target to target."""
    known = _known(_ends('p', 'a', 'b'))
    assert not known.is_poison(_request('p'))
    known.record(_ends('p', 'b'), 1)
    assert not known.is_poison(_request('p'))
    known.record(_ends('p', 'c'), 1)
    assert known.is_poison(_request('p'))


def test_new_start_of_a_target_counts_again():
    """Guards against few targets that a request ends for ever."""
    known = _known(
        [TargetEnd(_request('p'), 'a', start) for start in (1, 2, 3)]
    )
    assert known.is_poison(_request('p'))


def test_harmless_request_beside_three_crashes_is_not_the_cause():
    """Guards against a request that other requests' crashes condemn."""
    known = _known(
        _ends('p1', 'a', 'd', 'e'),
        _ends('p2', 'b', 'f', 'g'),
        _ends('p3', 'c', 'h', 'i'),
        _ends('harmless', 'a', 'b', 'c'),
    )
    assert not known.is_poison(_request('harmless'))
    # Their ends at a, b and c are shared, so one more decides.
    for number, other in enumerate(('p1', 'p2', 'p3')):
        known.record(_ends(other, f'more-{number}'), 1)
        assert known.is_poison(_request(other))
    assert not known.is_poison(_request('harmless'))


def test_requests_beside_each_other_at_all_crashes_stay_undecided():
    """Guards against the wrong one of two that always ran together."""
    known = _known(_ends('p', 'a', 'b', 'c'), _ends('q', 'a', 'b', 'c'))
    assert not known.is_poison(_request('p'))
    assert not known.is_poison(_request('q'))
    known.refute(_request('q'), 1)
    assert known.is_poison(_request('p'))
    assert not known.is_poison(_request('q'))


def test_answered_request_is_not_the_cause():
    """Guards against ends that an answer has refuted and a merge restores."""
    known = _known(_ends('p', 'a', 'b'))
    refuted = known.refute(_request('p'), 1)
    assert [end.refuted for end in refuted] == [True, True]
    known.record(_ends('p', 'a', 'b', 'c', 'd'), 2)
    assert not known.is_poison(_request('p'))
    known.record(_ends('p', 'e'), 3)
    assert known.is_poison(_request('p'))


def test_poison_of_several_callers_counts_together():
    """Guards against a request that each of its callers sends to all targets.

    An answer to one of them shows that the content is not the cause.
    """
    known = _known(
        _ends('p', 'a', caller='c'),
        _ends('p', 'b', caller='d'),
        _ends('p', 'c', caller='e'),
    )
    assert known.is_poison(_request('p', 'f'))
    known.refute(_request('p', 'g'), 1)
    assert not known.is_poison(_request('p', 'f'))


def test_poison_of_one_caller_does_not_condemn_the_others():
    """Guards against callers who pay for another one's request."""
    known = _known(_ends('p', 'a', 'b', 'c'))
    assert known.is_poison(_request('p'))
    assert not known.is_poison(_request('p', 'other'))
    known.refute(_request('p', 'other'), 1)
    assert known.is_poison(_request('p'))


def test_instances_out_of_touch_agree_once_they_meet():
    """Guards against counts that a replaced or cut instance takes along."""
    parts = [PoisonRequests() for _ in range(3)]
    for part, target in zip(parts, 'abc', strict=True):
        part.record(_ends('p', target), 0)
        assert not part.is_poison(_request('p'))
    for part, other in itertools.permutations(parts, 2):
        part.record(other.in_force(), 1)
    assert all(part.is_poison(_request('p')) for part in parts)


@given(st.lists(st.tuples(*map(st.sampled_from, ('pqr', 'abcd', (0, 1))))))
def test_order_of_notices_does_not_matter(drawn):
    """Guards against instances that judge the same ends differently."""
    ends = [
        TargetEnd(_request(request), target, 1, refuted=bool(refuted))
        for request, target, refuted in drawn
    ]
    shuffled = [*ends, *ends]
    random.Random(1).shuffle(shuffled)
    first, second = _known(ends), _known(shuffled)
    assert set(first.in_force()) == set(second.in_force())


def test_requests_are_forgotten():
    """Guards against memory that grows with each target that ends."""
    known = _known(_ends('p', 'a', 'b', 'c'))
    known.record(_ends('q', 'd'), REMEMBERED_S + 1)
    assert not known.is_poison(_request('p'))
    for number in range(MAX_REQUESTS + 10):
        known.record(_ends(f'r{number}', 'e'), REMEMBERED_S + 2)
    known.record((), REMEMBERED_S + 2)
    assert len(known.in_force()) == MAX_REQUESTS
    assert known.is_poison(_request('q')) is False
