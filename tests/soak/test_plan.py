"""Tests of the fault plans that are drawn from seeds.

A plan that differs between runs of a seed makes failures unrepeatable; one
with faults that no deployment survives makes soaks fail without a cause.
"""

import pytest

from soak.plan import CATCH_UP_S, FAULT_FREE_S, STARTUP_S, FaultKind, FaultPlan

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


def test_seed_always_draws_the_same_plan():
    """Guards against failures that cannot be repeated from their seed."""
    assert _plan(7) == _plan(7)
    assert _plan(7) != _plan(8)


@pytest.mark.parametrize('seed', range(20))
def test_disks_are_wiped_one_at_a_time(seed):
    """Guards against plans that wipe two control disks at the same time.

    With two of three disks lost, acknowledged changes could be lost too.
    """
    wipes = [
        fault for fault in _plan(seed).faults if fault.kind is FaultKind.wipe
    ]
    for earlier, later in zip(wipes, wipes[1:], strict=False):
        assert later.at_s >= earlier.at_s + earlier.for_s + CATCH_UP_S


@pytest.mark.parametrize('seed', range(20))
def test_beginning_and_end_are_fault_free(seed):
    """Guards against checks of the end that run while a fault lasts."""
    for fault in _plan(seed).faults:
        assert fault.at_s >= STARTUP_S
        assert fault.at_s + fault.for_s <= 60 - FAULT_FREE_S


def test_all_kinds_are_drawn():
    """Guards against kinds of faults that no plan contains."""
    drawn = {fault.kind for seed in range(20) for fault in _plan(seed).faults}
    assert drawn == set(FaultKind)
