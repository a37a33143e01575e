"""Tests of differences between lists of targets."""

import msgspec

from cuminhoist.fleet.list_changes import ListCopy, changes_between
from cuminhoist.fleet.messages import TargetList
from cuminhoist.steering.targets import TargetState
from tests.steering.builders import target


def test_same_list_changes_nothing():
    """Guards against sending hundreds of targets each second."""
    before = [target('a', warmup_left_s=2.0), target('b')]
    after = [target('a', warmup_left_s=1.0), target('b')]
    changes = changes_between(before, after, 0)
    assert not changes.changed
    assert not changes.gone


def test_copy_follows_the_list():
    """Guards against copies that differ from the list."""
    before = (target('a'), target('b'), target('c'))
    after = (
        target('a', state=TargetState.draining),
        target('c', warmup_left_s=3.0),
        target('d'),
    )
    copy = ListCopy()
    copy.take(TargetList(age_s=0, targets=before))
    whole = copy.take(changes_between(before, after, 0.5))
    assert set(whole.targets) == set(after)
    assert whole.age_s == 0.5


def test_restarted_target_is_a_change():
    """Guards against keeping connections of an earlier start."""
    before = [target('a', started_at_ms=1)]
    after = [msgspec.structs.replace(before[0], started_at_ms=2)]
    assert changes_between(before, after, 0).changed


def test_changes_without_a_list_are_not_used():
    """Guards against a list that holds its changes only."""
    changes = changes_between([], [target('a')], 0)
    assert ListCopy().take(changes) is None
