"""Tests of the checks of leaving notices and of pauses that targets ask for.

A check that misses its violation lets a soak pass although an instance sends
requests to targets that leave or are overloaded.
"""

import pytest

from soak.checks import find_violations
from soak.evidence import InjectedFault
from soak.plan import FaultKind

from .builders import arrival, call, sound_evidence

NOTICED_AT = 10.0
REFUSED_AT = 10.0


def _with_notice(sent_at, instance='entry-a', target='t1-g1'):
    """Return evidence of a request that reached a target after a notice."""
    evidence = sound_evidence()
    evidence.calls += [
        call(50, sent_at=9.9, ended_at=NOTICED_AT, leaving_target='t1-g1'),
        call(51, sent_at=sent_at, ended_at=sent_at + 1, instance=instance),
    ]
    evidence.arrivals.append(arrival(51, at=sent_at + 0.5, target=target))
    return evidence


def _with_pause(*arrived_at, instance='entry-a', target='t1-g1'):
    """Return evidence of requests that came after a 503 with Retry-After."""
    evidence = sound_evidence()
    evidence.calls.append(call(50, sent_at=9.9, ended_at=12, status=200))
    evidence.arrivals.append(arrival(50, at=REFUSED_AT, pause_s=3))
    for number, at in enumerate(arrived_at, 51):
        evidence.calls.append(
            call(number, sent_at=at, ended_at=at + 1, instance=instance)
        )
        evidence.arrivals.append(arrival(number, at=at, target=target))
    return evidence


def _fault(kind, on, began, ended):
    return InjectedFault(kind, on, began, ended)


def test_request_sent_after_a_leaving_notice():
    """Guards against requests that keep coming to a target that leaves."""
    violations = find_violations(_with_notice(NOTICED_AT + 3.1))
    assert len(violations) == 1
    assert 'r51, sent 3.10 s after entry-a' in violations[0]


@pytest.mark.parametrize(
    ('sent_at', 'changes'),
    [
        (NOTICED_AT + 2.9, {}),
        (NOTICED_AT + 3.1, {'instance': 'entry-b'}),
        (NOTICED_AT + 3.1, {'target': 't1-g2'}),
    ],
)
def test_notice_binds_one_instance_and_incarnation(sent_at, changes):
    """Guards against violations before the limit or for another link."""
    assert not find_violations(_with_notice(sent_at, **changes))


@pytest.mark.parametrize(
    ('kind', 'on', 'excused'),
    [
        (FaultKind.kill, 'entry-a', True),
        (FaultKind.terminate, 'entry-a', True),
        (FaultKind.pause, 'entry-a', True),
        (FaultKind.pause, 'entry-b', False),
        (FaultKind.links_cut, '', False),
        (FaultKind.kill_controls, '', False),
    ],
)
def test_faults_that_excuse_a_forgotten_notice(kind, on, excused):
    """Guards against excuses for instances that were only cut off."""
    evidence = _with_notice(NOTICED_AT + 3.1)
    evidence.injected_faults.append(_fault(kind, on, 11, 12))
    assert bool(find_violations(evidence)) is not excused


def test_notice_after_a_restart_counts_again():
    """Guards against a restart that excuses an instance for good."""
    evidence = _with_notice(NOTICED_AT + 8)
    evidence.injected_faults.append(_fault(FaultKind.kill, 'entry-a', 11, 12))
    assert not find_violations(evidence)
    repeated = call(52, sent_at=13, ended_at=13.1, leaving_target='t1-g1')
    evidence.calls.append(repeated)
    assert 'r51' in find_violations(evidence)[0]


def test_requests_in_a_pause():
    """Guards against requests to a target that asked for a pause."""
    violations = find_violations(_with_pause(10.6, 11, 12.9))
    assert len(violations) == 1
    assert '3 requests of entry-a reached t1-g1' in violations[0]


@pytest.mark.parametrize(
    ('arrived_at', 'changes'),
    [
        ((10.1, 10.2, 10.3, 10.4, 10.6, 11), {}),
        ((10.6, 11, 13.1, 13.2, 13.3), {}),
        ((10.6, 11, 12.9), {'instance': 'entry-b'}),
        ((10.6, 11, 12.9), {'target': 't1-g2'}),
    ],
)
def test_pause_binds_one_instance_for_its_time(arrived_at, changes):
    """Guards against violations outside the pause or for another link."""
    assert not find_violations(_with_pause(*arrived_at, **changes))


@pytest.mark.parametrize(
    ('kind', 'on', 'began', 'excused'),
    [
        (FaultKind.kill, 'entry-a', 11, True),
        (FaultKind.pause, 'entry-a', 11, True),
        (FaultKind.links_cut, '', 11, True),
        (FaultKind.kill_controls, '', 11, False),
        (FaultKind.kill, 'entry-b', 11, False),
        (FaultKind.target_down, 't1', REFUSED_AT + 0.05, True),
        (FaultKind.target_down, 't1', REFUSED_AT + 0.5, False),
        (FaultKind.target_down, 't2', REFUSED_AT + 0.05, False),
    ],
)
def test_faults_that_excuse_requests_in_a_pause(kind, on, began, excused):
    """Guards against excuses of instances that knew of the pause."""
    evidence = _with_pause(10.6, 11, 12.9)
    evidence.injected_faults.append(_fault(kind, on, began, began + 1.0))
    assert bool(find_violations(evidence)) is not excused


def test_stall_of_the_soak_delays_the_pause():
    """Guards against answers that the soak itself passed on late."""
    evidence = _with_pause(10.6, 11, 12.9)
    evidence.stalls.append((REFUSED_AT, REFUSED_AT + 0.2))
    assert not find_violations(evidence)
