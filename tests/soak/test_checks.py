"""Tests that the checks of the soak find each violation.

A check that misses its violation lets a soak pass although the programs
broke a promise; a check that fails on sound evidence hides real failures.
"""

import pytest

from soak.checks import find_violations
from soak.evidence import Arrival, Crash, InjectedFault, OrderKind
from soak.plan import FaultKind

from .builders import (
    FAULT_FREE_FROM_S,
    call,
    changed,
    order,
    run,
    sound_evidence,
)

POISON_PATH = '/browse/poison-1'


def _only_violation(evidence):
    violations = find_violations(evidence)
    assert len(violations) == 1, violations
    return violations[0]


def test_sound_evidence_has_no_violations():
    """Guards against checks that report violations in a sound soak."""
    assert not find_violations(sound_evidence())


def test_second_run_of_a_one_time_request():
    """Guards against a request with side effects that runs twice unseen."""
    evidence = sound_evidence()
    evidence.runs.append(run(3, target='t2'))
    assert 'r3 ran 2 times' in _only_violation(evidence)


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_refusal_of_a_request_that_ran(status):
    """Guards against a status that wrongly promises that nothing has run."""
    evidence = sound_evidence()
    evidence.calls[3] = changed(evidence.calls[3], status=status)
    assert f'answered {status}' in _only_violation(evidence)


def test_answer_of_another_request():
    """Guards against answers that reach the caller of another request."""
    evidence = sound_evidence()
    evidence.calls[3] = changed(
        evidence.calls[3], faulty='it carries another id'
    )
    assert 'answer to r3' in _only_violation(evidence)


def test_run_at_another_service():
    """Guards against requests sent to a service that the route doesn't name."""
    evidence = sound_evidence()
    evidence.runs[3] = run(3, service='catalogue')
    assert 'ran at catalogue' in _only_violation(evidence)


def test_unknown_route():
    """Guards against a 404 for a route that every configuration has."""
    evidence = sound_evidence()
    evidence.calls[3] = changed(evidence.calls[3], status=404)
    assert 'is unknown' in _only_violation(evidence)


def test_older_configuration_is_read():
    """Guards against the loss of an acknowledged configuration."""
    evidence = sound_evidence()
    later = order(
        OrderKind.configure, version=2, ended_at=FAULT_FREE_FROM_S - 9
    )
    evidence.orders.append(later)
    assert 'after 2 was acknowledged' in _only_violation(evidence)


def test_configuration_cannot_be_read_at_the_end():
    """Guards against control instances that do not recover from faults."""
    evidence = sound_evidence()
    evidence.orders.pop()
    assert 'could not be read' in _only_violation(evidence)


def test_invalid_configuration_is_acknowledged():
    """Guards against configurations that are put in force unvalidated."""
    evidence = sound_evidence()
    evidence.orders.append(order(OrderKind.invalid))
    assert 'invalid' in _only_violation(evidence)


def test_run_in_a_drained_domain():
    """Guards against drains that are lost after their acknowledgement.

    An undrain without an answer may be in force, so it ends the check.
    """
    evidence = sound_evidence()
    evidence.orders.append(order(OrderKind.drain, domain='north-a'))
    assert 'drained domain north-a' in find_violations(evidence)[0]
    evidence.orders.append(order(OrderKind.undrain, domain='north-a', status=0))
    assert not find_violations(evidence)


def test_run_at_a_leaving_target():
    """Guards against requests sent to targets that are about to stop."""
    evidence = sound_evidence()
    evidence.leaving['t1'] = 3.0
    assert 'leaving target t1' in find_violations(evidence)[0]


def test_answer_after_the_timeout():
    """Guards against requests that stay open beyond the route's time-out."""
    evidence = sound_evidence()
    evidence.calls[3] = changed(
        evidence.calls[3], ended_at=FAULT_FREE_FROM_S + 8
    )
    assert 'answered after' in _only_violation(evidence)


def test_stall_of_the_caller_is_no_late_answer():
    """Guards against stalls of the soak's process taken for late answers.

    With seed 104 on a loaded machine, the instance answered after 1.381 s,
    but the stalled caller read the answer after 2.64 s.
    """
    evidence = sound_evidence()
    evidence.calls[3] = changed(
        evidence.calls[3], ended_at=FAULT_FREE_FROM_S + 7.6
    )
    evidence.stalls.append((FAULT_FREE_FROM_S + 6, FAULT_FREE_FROM_S + 7.3))
    assert not find_violations(evidence)
    evidence.stalls[0] = (FAULT_FREE_FROM_S + 6, FAULT_FREE_FROM_S + 6.4)
    assert 'answered after' in _only_violation(evidence)


def test_request_cut_by_a_planned_stop():
    """Guards against a stop that aborts requests the instance has read.

    A kill shortly before may explain the missing answer, so it is allowed.
    """
    evidence = sound_evidence()
    evidence.calls.append(call(50, sent_at=9, ended_at=9.4, status=0))
    evidence.injected_faults.append(
        InjectedFault(FaultKind.terminate, 'entry-a', 9.1, 10)
    )
    assert 'no answer when entry-a stopped' in _only_violation(evidence)
    evidence.injected_faults.append(
        InjectedFault(FaultKind.kill, 'entry-b', 6, 7)
    )
    assert not find_violations(evidence)


def test_too_few_requests_are_served_at_the_end():
    """Guards against a deployment that still refuses after the faults."""
    evidence = sound_evidence()
    for number in range(5):
        evidence.calls[number] = changed(
            evidence.calls[number],
            once=False,
            status=503,
        )
    assert 'in the fault-free time' in _only_violation(evidence)


def test_process_that_ends_by_itself():
    """Guards against crashes of a process that go unreported."""
    evidence = sound_evidence()
    evidence.exits.append('entry-a ended by itself')
    assert _only_violation(evidence) == 'entry-a ended by itself'


def _limited_arrivals(evidence, count, limit_per_s):
    """Let requests reach a target with a limit, ten in a second."""
    for number in range(count):
        request_id = f'limited{number}'
        at = FAULT_FREE_FROM_S + number / 10
        evidence.calls.append(
            call(
                number,
                request_id=request_id,
                once=False,
                sent_at=at,
                ended_at=at + 0.1,
            )
        )
        evidence.runs.append(run(number, request_id=request_id, at=at))
        evidence.arrivals.append(
            Arrival(request_id, 't1', at, limit_per_s=limit_per_s)
        )


def test_requests_beyond_a_named_limit():
    """Guards against a target whose limit is broken unseen."""
    evidence = sound_evidence()
    _limited_arrivals(evidence, 90, 2)
    assert 'a limit of 2 a second' in _only_violation(evidence)


@pytest.mark.parametrize(('count', 'limit_per_s'), [(38, 2), (90, 8)])
def test_requests_within_a_named_limit(count, limit_per_s):
    """Guards against a check that leaves no time to react to a limit."""
    evidence = sound_evidence()
    _limited_arrivals(evidence, count, limit_per_s)
    assert not find_violations(evidence)


def _crash(number):
    return Crash(f'p{number}', POISON_PATH, f't{number}', 1.0 + number)


def test_poison_request_is_sent_on():
    """Guards against requests that go on ending targets unseen."""
    evidence = sound_evidence()
    evidence.crashes.extend(_crash(number) for number in range(4))
    for number in range(4):
        evidence.calls.append(call(90 + number, path=POISON_PATH, once=False))
        arrival = Arrival(f'r{90 + number}', 't9', 8.0 + number)
        evidence.arrivals.append(arrival)
    assert 'reached targets 4 times' in _only_violation(evidence)
    evidence.arrivals.pop()
    assert not find_violations(evidence)


def test_harmless_request_is_refused_as_poison():
    """Guards against a request that is refused for a crash beside it."""
    evidence = sound_evidence()
    evidence.calls[3] = changed(
        evidence.calls[3],
        path='/browse/3',
        refusal='poison-request',
    )
    evidence.runs[3] = changed(
        evidence.runs[3], path='/browse/3', service='catalogue'
    )
    assert 'cause of a crash' in _only_violation(evidence)


def test_callers_of_a_cut_instance_are_not_served():
    """Guards against an instance without targets that refuses its callers."""
    evidence = sound_evidence()
    cut = InjectedFault(FaultKind.targets_cut_reset, 'entry-a', 0, 60)
    evidence.injected_faults.append(cut)
    for number in range(12):
        evidence.calls[number] = changed(evidence.calls[number], status=502)
    for number in range(12, 40):
        evidence.calls[number] = changed(
            evidence.calls[number], instance='entry-b'
        )
    violations = find_violations(evidence)
    assert any('0 of 12 requests were served' in line for line in violations)
