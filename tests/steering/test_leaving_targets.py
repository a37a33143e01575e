"""Tests of notices of targets that are about to stop.

They guard against requests to a target that has announced its stop, and
against targets that stay out of use although they have started anew.
"""

from cuminhoist.fleet.instance_config import DeploymentLimits
from cuminhoist.steering.leaving_targets import (
    UNLISTED_KEPT_S,
    LeavingTarget,
    LeavingTargets,
)
from cuminhoist.steering.slot_lending import usable_entries
from cuminhoist.steering.targets import TargetState
from tests.steering.builders import target

LISTED = (target('t0', started_at_ms=1000), target('t1'))
NOTICE = LeavingTarget('t0', 1000)


def _usable(leaving, listed=LISTED, now=0):
    entries = leaving.apply(listed, now)
    return [entry.name for entry in usable_entries(entries, frozenset())]


def _with_notice(**fields):
    leaving = LeavingTargets(**fields)
    leaving.add([NOTICE], LISTED, 0)
    return leaving


def test_leaving_target_counts_as_draining():
    """Guards against requests to a target that the list shows as ready."""
    leaving = LeavingTargets()
    assert leaving.apply(LISTED, 0) is LISTED
    assert leaving.add([NOTICE], LISTED, 0) == (NOTICE,)
    assert leaving.apply(LISTED, 0)[0].state is TargetState.draining
    assert _usable(leaving) == ['t1']


def test_known_notice_is_not_new():
    """Guards against telling the fleet of each answer of a leaving target."""
    leaving = _with_notice()
    assert leaving.add([NOTICE], LISTED, 1) == ()
    assert leaving.in_force() == (NOTICE,)


def test_newer_list_of_the_same_incarnation_keeps_the_notice():
    """Guards against a list that lags behind the announcement."""
    leaving = _with_notice()
    leaving.end_obsolete(LISTED, 5)
    assert _usable(leaving, now=5) == ['t1']


def test_later_start_ends_the_notice():
    """Guards against a restarted target that gets no requests for ever."""
    leaving = _with_notice()
    restarted = (target('t0', started_at_ms=2000), target('t1'))
    leaving.end_obsolete(restarted, 5)
    assert _usable(leaving, restarted, 5) == ['t0', 't1']
    assert leaving.in_force() == ()


def test_obsolete_notice_is_not_added():
    """Guards against an instance that repeats a notice of a former start."""
    leaving = LeavingTargets()
    restarted = (target('t0', started_at_ms=2000), target('t1'))
    assert leaving.add([NOTICE], restarted, 0) == ()
    assert _usable(leaving, restarted) == ['t0', 't1']


def test_notice_of_a_later_start_replaces_an_earlier_one():
    """Guards against a second announcement that is taken for the first."""
    leaving = _with_notice()
    again = LeavingTarget('t0', 2000)
    restarted = (target('t0', started_at_ms=2000), target('t1'))
    assert leaving.add([again], restarted, 5) == (again,)
    leaving.end_obsolete(restarted, 6)
    assert _usable(leaving, restarted, 6) == ['t1']


def test_notice_belongs_to_the_identity_not_to_the_address():
    """Guards against ejecting the next target at the same address."""
    leaving = _with_notice()
    reused = (target('t9', address=LISTED[0].address), target('t1'))
    leaving.end_obsolete(reused, 1)
    assert _usable(leaving, reused, 1) == ['t9', 't1']


def test_notice_outlives_a_list_that_lacks_the_target():
    """Guards against a target that a single list leaves out by an error."""
    leaving = _with_notice()
    leaving.end_obsolete(LISTED[1:], 1)
    leaving.end_obsolete(LISTED, 2)
    assert _usable(leaving, now=2) == ['t1']


def test_notices_of_gone_targets_are_dropped():
    """Guards against memory that grows with each target that ever left."""
    leaving = _with_notice()
    leaving.end_obsolete(LISTED[1:], UNLISTED_KEPT_S + 1)
    assert leaving.in_force() == ()


def test_unknown_incarnation_is_the_next_listed_one():
    """Guards against sending to a target that restarted during an outage.

    Without a recent list the start of the target that answers is unknown, so
    a later start in the next list may be the one that announced its stop.
    """
    leaving = LeavingTargets()
    leaving.add([LeavingTarget('t0')], LISTED, 0)
    assert _usable(leaving) == ['t1']
    current = (target('t0', started_at_ms=2000), target('t1'))
    leaving.end_obsolete(current, 1)
    assert _usable(leaving, current, 1) == ['t1']
    restarted = (target('t0', started_at_ms=3000), target('t1'))
    leaving.end_obsolete(restarted, 2)
    assert _usable(leaving, restarted, 2) == ['t0', 't1']


def test_last_warm_target_works_on_for_a_time():
    """Guards against refusals while the only target of a service still runs.

    A target in warm-up is no replacement.
    """
    leaving = _with_notice(last_target_s=1.5)
    listed = (LISTED[0], target('t1', warmup_left_s=3))
    assert _usable(leaving, listed, 1) == ['t0', 't1']
    assert leaving.next_stop_at == 1.5
    assert _usable(leaving, listed, 1.5) == ['t1']
    assert leaving.next_stop_at == float('inf')


def test_last_target_stops_well_within_the_drain_time():
    """Guards against requests later than the deployment allows."""
    leaving = LeavingTargets.from_limits(DeploymentLimits(drain_s=2))
    leaving.add([NOTICE], LISTED, 0)
    assert _usable(leaving, LISTED[:1], 0.9) == ['t0']
    assert _usable(leaving, LISTED[:1], 1) == []


def test_target_stops_at_once_where_others_serve():
    """Guards against requests to a leaving target without need."""
    leaving = _with_notice(last_target_s=1.5)
    assert _usable(leaving) == ['t1']
