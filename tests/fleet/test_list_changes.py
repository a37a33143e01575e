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
    copy.apply(TargetList(age_s=0, targets=before), 0)
    merged = copy.apply(changes_between(before, after, 0.5), 1)
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
    assert ListCopy().apply(changes, 0) is None


def test_warm_up_ends_in_the_copy():
    """Guards against targets that stay in warm-up and get no requests.

    Deltas have no entry for a warm-up that goes on, so copies kept the time
    left of the first message for ever.
    """
    copy = ListCopy()
    before = (target('a', warmup_left_s=2.0), target('b'))
    copy.apply(TargetList(age_s=0.2, targets=before), 10.2)
    left_s = []
    for now in (11, 12, 13):
        after = (target('a', warmup_left_s=max(12 - now, 0)), target('b'))
        merged = copy.apply(changes_between(before, after, 0), now)
        left_s.append(merged.targets[0].warmup_left_s)
        before = after
    assert left_s == [1, 0, 0]
