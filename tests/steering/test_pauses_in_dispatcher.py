"""Tests of pauses in the dispatcher.

A target that answers 503 with the header retry-after shall get no request
from that entry instance for so long.
"""

import pytest

from cuminhoist.steering.decisions import Ending, Granted, Refused
from cuminhoist.steering.tracked_target import TrackedTarget

from .builders import (
    REGION,
    SERVICE,
    attempt_report,
    make_dispatcher,
    request,
    target,
)

_PAUSE_S = 2.0


def _place(dispatcher, number, now, instance='e', **fields):
    return dispatcher.decide_or_queue(instance, request(number, **fields), now)


def _report_pause(dispatcher, granted, now, instance='e', **fields):
    values = {'ending': Ending.shed, 'pause_s': _PAUSE_S, **fields}
    return dispatcher.end_attempt(
        instance, attempt_report(granted, **values), now
    )


def _pause_target(dispatcher, name, now, instance='e', number=900):
    """Make a target ask an instance for a pause, outside of a grant."""
    _report_pause(dispatcher, Granted(number, name), now, instance)


def _granted_names(dispatcher, now, instance='e', excluded=()):
    names = set()
    for number in range(6):
        decision = _place(
            dispatcher, 100 + number, now, instance, excluded=excluded
        )
        if isinstance(decision, Granted):
            names.add(decision.target)
            dispatcher.withdraw(instance, 100 + number, SERVICE, now)
    return names


def _replace_targets(dispatcher, **changes):
    known = dispatcher.queue(SERVICE).targets
    entry = target('t0', slots=1, **changes)
    if changes:
        known = {**known, 't0': TrackedTarget(entry, REGION)}
    dispatcher.set_targets(SERVICE, dict(known), REGION)


def test_paused_target_is_not_offered_to_its_instance():
    """Guards against grants of free slots that the target refuses."""
    dispatcher = make_dispatcher(count=2)
    _pause_target(dispatcher, 't0', 0)
    for now in (0.1, 0.6, 1.9):
        assert _granted_names(dispatcher, now) == {'t1'}


def test_target_is_offered_again_after_its_pause():
    """Guards against a target that is lost for ever."""
    dispatcher = make_dispatcher(count=1)
    _pause_target(dispatcher, 't0', 0)
    assert _granted_names(dispatcher, _PAUSE_S + 0.01) == {'t0'}


@pytest.mark.parametrize('ending', [Ending.shed, Ending.failed])
def test_one_pause_concerns_one_instance_only(ending):
    """Guards against an instance that stops all others from using a target."""
    dispatcher = make_dispatcher(count=3)
    others = ('t1', 't2')
    for number in range(3):
        now = 3 * number
        granted = _place(dispatcher, number, now, excluded=others)
        _report_pause(dispatcher, granted, now, ending=ending)
        for instance, names in (('e', set()), ('other', {'t0'})):
            assert names == _granted_names(
                dispatcher, now + 0.01, instance, others
            )


def test_waiting_request_is_placed_again():
    """Guards against waiting for a slot that may not be used."""
    dispatcher = make_dispatcher(count=2)
    first = _place(dispatcher, 1, 0)
    other = _place(dispatcher, 2, 0)
    assert _place(dispatcher, 3, 0) is None
    waiting = dispatcher.queue(SERVICE).waiting
    awaited = next(iter(waiting)).target.entry.name
    paused, free = (first, other) if awaited == first.target else (other, first)
    decisions = _report_pause(dispatcher, paused, 0.01)
    assert decisions == []
    (decision,) = dispatcher.end_attempt('e', attempt_report(free), 0.02)
    assert decision[1].number == 3
    assert decision[1].target == free.target


def test_waiting_request_without_another_target_is_refused():
    """Guards against waiting until the deadline for a paused target."""
    dispatcher = make_dispatcher(count=1)
    granted = _place(dispatcher, 1, 0)
    assert _place(dispatcher, 2, 0) is None
    ((_, decision),) = _report_pause(dispatcher, granted, 0.05)
    assert isinstance(decision, Refused)
    assert decision.number == 2
    assert not dispatcher.has_waiting()


def test_waiting_request_of_another_instance_gets_the_slot():
    """Guards against a slot that stays idle because of a pause."""
    dispatcher = make_dispatcher(count=1)
    granted = _place(dispatcher, 1, 0)
    assert _place(dispatcher, 2, 0, 'other') is None
    ((instance, decision),) = _report_pause(dispatcher, granted, 0.05)
    assert instance == 'other'
    assert isinstance(decision, Granted)


def test_pause_outlives_a_new_target_list():
    """Guards against a pause that ends with a reload or a new list."""
    dispatcher = make_dispatcher(count=2)
    _pause_target(dispatcher, 't0', 0)
    known = dict(dispatcher.queue(SERVICE).targets)
    dispatcher.set_targets(SERVICE, {'t1': known['t1']}, REGION)
    dispatcher.set_targets(
        SERVICE,
        {**known, 't0': TrackedTarget(target('t0', slots=1), REGION)},
        REGION,
    )
    assert _granted_names(dispatcher, 0.5) == {'t1'}


def test_restart_of_the_target_ends_its_pause():
    """Guards against a started target that gets nothing."""
    dispatcher = make_dispatcher(count=1)
    _replace_targets(dispatcher, started_at_ms=1000)
    _report_pause(dispatcher, Granted(1, 't0'), 0, target_started_at_ms=1000)
    assert not _granted_names(dispatcher, 0.1)
    _replace_targets(dispatcher, started_at_ms=2000)
    assert _granted_names(dispatcher, 0.2) == {'t0'}


def test_pause_of_a_former_start_does_not_bind_the_next():
    """Guards against a late report that pauses a target started since."""
    dispatcher = make_dispatcher(count=1)
    _replace_targets(dispatcher, started_at_ms=2000)
    _report_pause(dispatcher, Granted(1, 't0'), 0, target_started_at_ms=1000)
    assert _granted_names(dispatcher, 0.1) == {'t0'}


def test_refusal_names_the_end_of_the_smallest_pause():
    """Guards against callers that return during the pauses, or too late."""
    dispatcher = make_dispatcher(count=2)
    _report_pause(dispatcher, Granted(901, 't0'), 0, pause_s=3.0)
    _report_pause(dispatcher, Granted(902, 't1'), 0, pause_s=1.0)
    for excluded in ((), ('t1',), ('t0', 't1')):
        decision = _place(dispatcher, 1, 0.25, excluded=excluded)
        assert isinstance(decision, Refused)
        assert decision.retry_after_s == pytest.approx(0.75)


def test_refusal_counts_only_targets_of_allowed_regions():
    """Guards against a time to return at which no target may be used."""
    dispatcher = make_dispatcher(count=2)
    queue = dispatcher.queue(SERVICE)
    remote = TrackedTarget(target('t1', slots=1), 'north')
    dispatcher.set_targets(
        SERVICE, {'t0': queue.targets['t0'], 't1': remote}, REGION
    )
    _report_pause(dispatcher, Granted(901, 't0'), 0, pause_s=3.0)
    _report_pause(dispatcher, Granted(902, 't1'), 0, pause_s=1.0)
    decision = _place(dispatcher, 1, 0, allowed_regions=frozenset((REGION,)))
    assert decision.retry_after_s == pytest.approx(3)


def test_refusal_for_want_of_slots_knows_a_shorter_pause():
    """Guards against a time to return far after the end of a pause."""
    dispatcher = make_dispatcher(count=2)
    queue = dispatcher.queue(SERVICE)
    queue.run_times.hit_run_s = 5
    _place(dispatcher, 1, 0, 'other', excluded=('t0',))
    _report_pause(dispatcher, Granted(901, 't0'), 0, pause_s=0.5)
    decision = _place(dispatcher, 2, 0, objective_left_s=-1)
    assert decision.retry_after_s == pytest.approx(0.5)


def test_panic_mode_keeps_pauses():
    """Guards against requests to paused targets when most are ejected."""
    dispatcher = make_dispatcher(count=3)
    for number, name in enumerate(('t0', 't1', 't2')):
        dispatcher.restore_attempt(
            'e', attempt_report(Granted(number, name)), 0
        )
        dispatcher.end_attempt(
            'e',
            attempt_report(Granted(number, name), ending=Ending.unreachable),
            0,
        )
    assert _granted_names(dispatcher, 0.1) == {'t0'}
    _pause_target(dispatcher, 't0', 0.1)
    assert _granted_names(dispatcher, 0.15) == {'t1'}


def test_pauses_of_several_instances_mean_overload():
    """Guards against each instance learning of an overload by itself."""
    dispatcher = make_dispatcher(count=2)
    _pause_target(dispatcher, 't0', 0, 'e1')
    assert 't0' in _granted_names(dispatcher, 0.2, 'e3')
    _pause_target(dispatcher, 't0', 0.5, 'e2')
    assert _granted_names(dispatcher, 0.6, 'e3') == {'t1'}
    assert 't0' in _granted_names(dispatcher, _PAUSE_S + 0.1, 'e3')


def test_request_that_waits_for_an_overloaded_target_is_placed_again():
    """Guards against waiting for a target that asks all to send less."""
    dispatcher = make_dispatcher(count=1)
    granted = [_place(dispatcher, 1, 0, 'e1')]
    assert _place(dispatcher, 2, 0, 'e3') is None
    _pause_target(dispatcher, 't0', 0.01, 'e2')
    ((instance, decision),) = _report_pause(dispatcher, granted[0], 0.02, 'e1')
    assert (instance, type(decision)) == ('e3', Refused)


def test_pauses_at_unlike_times_are_no_overload():
    """Guards against taking single pauses for an overload."""
    dispatcher = make_dispatcher(count=2)
    _pause_target(dispatcher, 't0', 0, 'e1')
    _pause_target(dispatcher, 't0', 1.5, 'e2')
    assert 't0' in _granted_names(dispatcher, 1.6, 'e3')


def test_repeated_pauses_of_one_instance_are_no_overload():
    """Guards against one instance that ejects a target for all."""
    dispatcher = make_dispatcher(count=2)
    for number in range(4):
        _pause_target(dispatcher, 't0', 0.1 * number, 'e1', 900 + number)
    assert 't0' in _granted_names(dispatcher, 0.5, 'e2')


def test_panic_mode_keeps_an_overloaded_target_out():
    """Guards against more load on targets that ask all for less."""
    dispatcher = make_dispatcher(count=2)
    for name in ('t0', 't1'):
        for instance in ('e1', 'e2'):
            _pause_target(dispatcher, name, 0, instance)
    decision = _place(dispatcher, 1, 0.1, 'e3')
    assert isinstance(decision, Refused)
    assert decision.retry_after_s == pytest.approx(1.9, abs=0.1)


def test_free_target_is_found_among_many_paused_ones():
    """Guards against a refusal while one of many targets is free."""
    dispatcher = make_dispatcher(count=60)
    for number in range(59):
        _pause_target(dispatcher, f't{number}', 0, number=900 + number)
    decision = _place(dispatcher, 1, 0.1)
    assert isinstance(decision, Granted)
    assert decision.target == 't59'


def test_pauses_do_not_break_the_limit_on_shifts():
    """Guards against a region that moves away while its targets pause."""
    dispatcher = make_dispatcher(count=1, shift_limit=0)
    known = dispatcher.queue(SERVICE).targets
    remote = TrackedTarget(target('t1', slots=1), 'north')
    dispatcher.set_targets(SERVICE, {**known, 't1': remote}, REGION)
    for number in range(50):
        now = 0.1 * number
        granted = _place(dispatcher, number, now)
        assert granted.target == 't0'
        dispatcher.end_attempt('e', attempt_report(granted), now)
    _pause_target(dispatcher, 't0', 5)
    decision = _place(dispatcher, 100, 5.1)
    assert isinstance(decision, Refused)
    assert decision.retry_after_s == pytest.approx(1.9)


@pytest.mark.parametrize('pause_s', [0, _PAUSE_S])
def test_attempt_that_never_ran_teaches_no_run_time(pause_s):
    """Guards against returned grants that count as cache hits."""
    dispatcher = make_dispatcher(count=1)
    times = dispatcher.queue(SERVICE).run_times
    presumed = times.presumed_hit_fraction
    granted = _place(dispatcher, 1, 0, key='k')
    report = attempt_report(
        granted,
        run_s=0.0,
        key='k',
        ending=Ending.shed if pause_s else Ending.withdrawn,
        pause_s=pause_s,
    )
    dispatcher.end_attempt('e', report, 0)
    assert times.presumed_hit_fraction == presumed


def test_lost_instance_is_forgotten_with_its_pauses():
    """Guards against memory that grows with each start of an instance."""
    dispatcher = make_dispatcher(count=1)
    for number in range(5):
        instance = f'e/{number}'
        _pause_target(dispatcher, 't0', 0, instance)
        dispatcher.release_entry_instance(instance, 0.1)
    assert not dispatcher.pauses
