"""Tests of the pauses that targets asked of one entry instance."""

import pytest

from cuminhoist.steering.overload_detector import OverloadDetector
from cuminhoist.steering.target_pauses import (
    PRUNE_INTERVAL_S,
    TargetPause,
    TargetPauses,
)

from .builders import target


def _pauses(*recorded):
    pauses = TargetPauses()
    for pause, now in recorded:
        pauses.record(pause, now)
    return pauses


def test_pause_lasts_as_long_as_asked():
    """Guards against requests before the end of a pause."""
    pauses = _pauses((TargetPause('t', 0, 2), 10))
    assert pauses.left_s(target('t'), 11.5) == pytest.approx(0.5)
    assert not pauses.left_s(target('t'), 12)
    assert not pauses.left_s(target('other'), 11)


def test_shorter_pause_does_not_end_a_longer_one():
    """Guards against answers that arrive out of order."""
    pauses = _pauses(
        (TargetPause('t', 0, 3), 0), (TargetPause('t', 0, 0.5), 0.1)
    )
    assert pauses.left_s(target('t'), 1) == pytest.approx(2)


def test_late_answer_of_a_former_start_does_not_extend_a_pause():
    """Guards against pauses of a process that has ended."""
    pauses = _pauses((TargetPause('t', 2, 1), 0), (TargetPause('t', 1, 9), 0))
    assert pauses.left_s(target('t', started_at_ms=2), 0) == pytest.approx(1)


def test_unknown_start_is_no_restart():
    """Guards against a list entry without a start that ends a pause."""
    known = _pauses((TargetPause('t', 5, 1), 0))
    assert known.left_s(target('t', started_at_ms=0), 0)
    unknown = _pauses((TargetPause('t', 0, 1), 0))
    assert unknown.left_s(target('t', started_at_ms=5), 0)


def test_expired_pauses_are_dropped():
    """Guards against memory that grows with each target that ever paused."""
    pauses = TargetPauses()
    for number in range(500):
        pauses.record(TargetPause(f't{number}', 0, 0.5), 0.1 * number)
    assert len(pauses) <= 10 * (PRUNE_INTERVAL_S + 0.5) + 1


def test_repeated_pauses_have_the_time_that_is_left():
    """Guards against pauses that a new dispatcher keeps for too long."""
    pauses = _pauses(
        (TargetPause('t', 7, 2), 0), (TargetPause('ended', 0, 1), 0)
    )
    assert pauses.unexpired(1.5) == (TargetPause('t', 7, 0.5),)


def test_overload_ends_with_the_first_pause():
    """Guards against keeping all out longer than the target asked anyone."""
    detector = OverloadDetector()
    assert detector.record('e1', 1, 0) < 0
    assert detector.record('e2', 3, 0.5) == pytest.approx(1)
