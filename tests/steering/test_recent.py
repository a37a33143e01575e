"""Tests of what was known of entry instances of late."""

from cuminhoist.steering.recent import RecentMax, RecentNames


def test_largest_number_is_kept_for_its_time():
    """Guards against parts that grow while an instance that is gone may
    still use its own."""
    recent = RecentMax(7)
    assert recent.record(4, 0) == 4
    assert recent.record(3, 1) == 4
    assert recent.record(2, 6) == 4
    assert recent.record(1, 7.5) == 3
    assert recent.record(1, 9) == 2
    assert recent.record(5, 9) == 5


def test_absent_names_count_for_their_time():
    """Guards against an instance that joins in place of one that is cut."""
    recent = RecentNames(7)
    assert recent.record({'a', 'b'}, 0) == 2
    assert recent.record({'b', 'c'}, 1) == 3
    assert recent.record({'b', 'c'}, 7) == 3
    assert recent.record({'b', 'c'}, 9) == 2
    assert recent.record({'a', 'b'}, 10) == 3


def test_absent_names_stay_while_nothing_expires():
    """Guards against a dispatcher without a quorum that uses what may be
    decided by another one."""
    recent = RecentNames(7)
    recent.record({'a', 'b'}, 0)
    assert recent.record({'a'}, 100, expires=False) == 2
    assert recent.record({'a'}, 104) == 2
    assert recent.record({'a'}, 108) == 1
