"""Tests of deltas between target lists.

They guard against copies that differ from the list, and against deltas that
carry unchanged targets.
"""

import msgspec

from cuminhoist.fleet.list_changes import ListCopy, changes_between
from cuminhoist.fleet.messages import TargetList
from cuminhoist.steering.targets import TargetState
from tests.steering.builders import target


def test_same_list_changes_nothing():
    """Guards against sending hundreds of unchanged targets each second.

    The remaining warm-up time falls by itself and must not count as a change.
    """
    before = [target('a', warmup_left_s=2.0), target('b')]
    after = [target('a', warmup_left_s=1.0), target('b')]
    changes = changes_between(before, after, 0)
    assert not changes.changed
    assert not changes.gone


def test_copy_follows_the_list():
    """Guards against a copy that differs from the list after a delta."""
    before = (target('a'), target('b'), target('c'))
    after = (
        target('a', state=TargetState.draining),
        target('c', warmup_left_s=3.0),
        target('d'),
    )
    copy = ListCopy()
    copy.apply(TargetList(age_s=0, targets=before))
    merged = copy.apply(changes_between(before, after, 0.5))
    assert set(merged.targets) == set(after)
    assert merged.age_s == 0.5


def test_restarted_target_is_a_change():
    """Guards against keeping connections to a target's earlier incarnation."""
    before = [target('a', started_at_ms=1)]
    after = [msgspec.structs.replace(before[0], started_at_ms=2)]
    assert changes_between(before, after, 0).changed


def test_changes_without_a_list_are_not_used():
    """Guards against taking a delta for a complete list."""
    changes = changes_between([], [target('a')], 0)
    assert ListCopy().apply(changes) is None
