"""Tests of the age of confirmations.

They guard against an old or delayed confirmation that makes a configuration
look fresh.
"""

import pytest

from cuminhoist.clock import ManualClock
from cuminhoist.freshness import Currency, Freshness, age_at_receipt


@pytest.mark.parametrize(
    ('age_ms', 'held_ms', 'elapsed_s', 'expected'),
    [
        (100, 0, 0.002, 0.102),
        (100, 2000, 2.002, 0.102),
        # A reply that was delayed by 4 s is 4 s older.
        (100, 2000, 6.0, 4.1),
        # A duplicate of the reply to an earlier, longer poll.
        (100, 2000, 0.002, None),
        (100, -9000, 1.0, 1.1),
        (-1, 0, 0.1, None),
    ],
)
def test_age_at_receipt(age_ms, held_ms, elapsed_s, expected):
    """Guards against a delayed reply that looks fresher than it is."""
    assert age_at_receipt(age_ms, held_ms, elapsed_s) == pytest.approx(expected)


def test_currency_over_time():
    """Guards against an old confirmation that still counts as fresh."""
    clock = ManualClock()
    freshness = Freshness(clock)
    assert freshness.currency(-1) is Currency.empty
    freshness.mark_isolated()
    assert freshness.currency(4) is Currency.isolated
    freshness.record_confirmation(1)
    assert freshness.currency(4) is Currency.fresh
    clock.advance(3.9)
    freshness.record_confirmation(6)
    assert freshness.currency(4) is Currency.fresh
    clock.advance(0.2)
    assert freshness.currency(4) is Currency.stale


def test_isolation_ends_with_a_fresh_confirmation():
    """Guards against reporting isolated after a fresh confirmation."""
    clock = ManualClock()
    freshness = Freshness(clock)
    freshness.mark_isolated()
    freshness.record_confirmation(60)
    assert freshness.currency(4) is Currency.isolated
    freshness.record_confirmation(0.5)
    clock.advance(6)
    assert freshness.currency(4) is Currency.stale
