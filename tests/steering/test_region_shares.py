"""Tests of the counts of requests by the region in which they run."""

from cuminhoist.steering.region_shares import (
    KEPT_S,
    RegionShares,
    changed_fraction,
    shares,
)


def test_counts_of_a_window():
    """Guards against requests that count in the wrong window."""
    counts = RegionShares()
    for tenth in range(40):
        counts.count(tenth / 10, 'south' if tenth < 20 else 'north')
    assert counts.between(0, 2) == {'south': 20}
    assert counts.between(2, 4) == {'north': 20}
    assert counts.between(1, 3) == {'south': 10, 'north': 10}


def test_old_counts_are_dropped():
    """Guards against counts that grow for as long as a process runs."""
    counts = RegionShares()
    for second in range(1000):
        counts.count(second, 'south')
    assert counts.between(0, 1000).total() <= KEPT_S + 1


def test_changed_fraction_counts_each_request_once():
    """Guards against counting a request where it left and where it went."""
    assert changed_fraction({'a': 60, 'b': 40}, {'a': 20, 'b': 80}) == 0.4
    assert changed_fraction({'a': 6}, {'b': 600}) == 1
    assert changed_fraction({'a': 6, 'b': 4}, {'a': 60, 'b': 40}) == 0
    assert shares({}) == {}
