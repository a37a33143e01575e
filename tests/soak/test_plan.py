"""Tests of the faults that a seed draws."""

import pytest

from soak.plan import CATCH_UP_S, FAULT_FREE_S, START_S, FaultKind, FaultPlan

CONTROLS = ('c1', 'c2', 'c3')


def _plan(seed):
    return FaultPlan.from_seed(
        seed,
        60,
        CONTROLS,
        ('e1', 'e2'),
        ('t1', 't2'),
        ('d1', 'd2'),
    )


def test_same_seed_draws_the_same_plan():
    """Guards against failures that no seed brings back."""
    assert _plan(7) == _plan(7)
    assert _plan(7) != _plan(8)


@pytest.mark.parametrize('seed', range(20))
def test_no_more_disks_are_lost_than_may_be(seed):
    """Guards against plans that nothing could bear."""
    wipes = [one for one in _plan(seed).faults if one.kind is FaultKind.wipe]
    for before, after in zip(wipes, wipes[1:], strict=False):
        assert after.at_s >= before.at_s + before.for_s + CATCH_UP_S


@pytest.mark.parametrize('seed', range(20))
def test_beginning_and_end_are_calm(seed):
    """Guards against a judgement while faults still last."""
    for fault in _plan(seed).faults:
        assert fault.at_s >= START_S
        assert fault.at_s + fault.for_s <= 60 - FAULT_FREE_S


def test_all_kinds_are_drawn():
    """Guards against kinds that no seed plays."""
    drawn = {fault.kind for seed in range(20) for fault in _plan(seed).faults}
    assert drawn == set(FaultKind)
