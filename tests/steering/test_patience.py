"""Tests of how long a caller has been asking."""

from cuminhoist.steering.patience import HALVING_COUNT, Patience


def test_returning_caller_is_told_apart():
    """Guards against taking a returning caller for a new one."""
    patience = Patience()
    for _ in range(20):
        assert patience.elapsed_s(1.2) == 0
    assert round(patience.elapsed_s(0.8), 3) == 0.4


def test_one_patient_caller_does_not_age_the_others():
    """Guards against a single long deadline that makes all others late."""
    patience = Patience()
    for _ in range(20):
        patience.elapsed_s(1.2)
    assert patience.elapsed_s(9) == 0
    assert patience.elapsed_s(1.2) == 0


def test_changed_deadline_is_learned():
    """Guards against judging by a deadline that nobody uses any more."""
    patience = Patience()
    for _ in range(HALVING_COUNT):
        patience.elapsed_s(2)
    for _ in range(2 * HALVING_COUNT):
        patience.elapsed_s(1)
    assert patience.elapsed_s(1) == 0
