"""Tests of the fault plans that are drawn from seeds.

A plan that differs between runs of a seed makes failures unrepeatable; one
with faults that no deployment survives makes soaks fail without a cause.
"""

import hashlib

import msgspec
import pytest

from soak.checks import LEAVING_LIMIT_S
from soak.plan import (
    CATCH_UP_S,
    FAULT_FREE_S,
    KINDS_BY_VERSION,
    STARTUP_S,
    FaultKind,
    FaultPlan,
)
from soak.run import Soak

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


def test_kept_seed_keeps_its_plan(tmp_path):
    """Guards against new kinds of faults that change plans of kept seeds.

    The digest is of the plan with which seed 104 failed.
    """
    plan = Soak(104, 30.0, tmp_path, 1).plan
    digest = hashlib.sha256(msgspec.json.encode(plan)).hexdigest()
    assert digest.startswith('4b6d4f402688dfd8')
    later_kinds = frozenset().union(*KINDS_BY_VERSION.values())
    assert not later_kinds & {fault.kind for fault in plan.faults}


def test_list_is_silent_for_longer_than_the_leaving_limit():
    """Guards against notices that the target list always confirms in time."""
    silences_s = [
        fault.for_s
        for seed in range(20)
        for fault in _plan(seed).faults
        if fault.kind is FaultKind.target_announces
    ]
    assert max(silences_s) > LEAVING_LIMIT_S + 2
    assert min(silences_s) < LEAVING_LIMIT_S


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
