"""Tests of the state machine that the control log replicates.

They guard against changes that are applied twice or lost, because their
outcome was evicted or is missing in a snapshot.
"""

import msgspec
from hypothesis import given, settings, strategies

from cuminhoist.config_model import Accepted, Change, Conflict, Drain, Rejected
from cuminhoist.control_state import REASON_EXPIRED, ControlState, StateImage
from cuminhoist.types import DrainScope

from . import builders


def drain(change_id: str, seen: int, name: str = 'u1') -> Change:
    """Return a drain change whose author had seen a version."""
    change = Change.from_drain(
        change_id,
        Drain(scope=DrainScope.upstream, name=name),
    )
    return msgspec.structs.replace(change, base_version=seen)


def test_evicted_changes_are_never_applied_again():
    """Guards against a retry of an evicted change that is applied again."""
    state = ControlState(max_applied=3)
    first_drain = drain('d0', 0)
    plans_change = builders.plans_change('p0', 0)
    assert state.apply(first_drain) == Accepted(version=1)
    assert state.apply(plans_change) == Accepted(version=2)
    for number in range(5):
        state.apply(drain(f'later-{number}', state.config.version))
    for old in (first_drain, plans_change, builders.plans_change('unknown', 1)):
        assert state.apply(old) == Rejected(reason=REASON_EXPIRED)
    assert state.config.version == 7
    # The list has not changed since then, so its version still matches.
    assert state.apply(builders.plans_change('p1', 2)) == Accepted(version=8)
    assert state.apply(drain('new', 8)) == Accepted(version=9)


def test_late_end_of_a_drain_does_not_end_a_newer_one():
    """Guards against an order that is applied after a newer one.

    Its author gave it up, and then announced the drain again.
    """
    state = ControlState()
    assert state.apply(drain('d0', 0)) == Accepted(version=1)
    late = Change(
        change_id='late',
        base_version=1,
        undrain=Drain(scope=DrainScope.upstream, name='u1'),
    )
    assert state.apply(drain('d1', 1)) == Accepted(version=2)
    assert not isinstance(state.apply(late), Accepted)
    assert [entry.name for entry in state.config.drains] == ['u1']


def test_conflicts_alone_expire_nothing_new():
    """Guards against many conflicts that make all new changes expire."""
    state = ControlState(max_applied=3)
    state.apply(builders.plans_change('p0', 0))
    for number in range(20):
        outcome = state.apply(builders.plans_change(f'lost-{number}', 0))
        assert not isinstance(outcome, Accepted)
    assert state.apply(drain('new', 1)) == Accepted(version=2)


@settings(max_examples=200, deadline=None)
@given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 12),
            strategies.integers(0, 5),
            strategies.booleans(),
        ),
        max_size=40,
    ),
)
def test_snapshot_gives_equal_outcomes(steps):
    """Guards against a snapshot that loses outcomes of changes."""
    state = ControlState(max_applied=4)
    changes_by_id: dict[str, Change] = {}
    accepted: list[str] = []
    for number, base, is_drain in steps:
        change_id = f'c{number}'
        new_change = (
            drain(change_id, base, change_id)
            if is_drain
            else builders.plans_change(change_id, base)
        )
        change = changes_by_id.setdefault(change_id, new_change)
        image = msgspec.msgpack.decode(
            msgspec.msgpack.encode(state.image()),
            type=StateImage,
        )
        restored = ControlState.from_image(image, max_applied=4)
        before = state.config.version
        outcome = state.apply(change)
        assert restored.apply(change) == outcome
        assert restored.config == state.config
        if state.config.version > before:
            accepted.append(change_id)
        if isinstance(outcome, Conflict):
            assert outcome.version != change.base_version
    assert len(accepted) == len(set(accepted))
