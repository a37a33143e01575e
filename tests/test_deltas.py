"""Tests of the differences between configurations."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.config_model import (
    Allowance,
    Allowances,
    Caller,
    Configuration,
    Drain,
    Plan,
    Plans,
    ShiftCap,
)
from cuminhoist.deltas import ApplyResult, ConfigStore, EncodedConfig, diff
from cuminhoist.types import DrainScope

from . import builders

_names = st.sampled_from(['a', 'b', 'c', 'd', 'e', 'f'])
_numbers = st.sampled_from([0.0, 1, 1.0, 2.5, 7])


def _lists(kind, **fields):
    return st.lists(st.builds(kind, **fields), max_size=6).map(tuple)


_configs = st.builds(
    Configuration,
    plans=st.builds(
        Plans,
        plans=_lists(Plan, name=_names, weight=_numbers),
        callers=_lists(Caller, name=_names, plan=_names),
    ),
    allowances=st.builds(
        Allowances,
        allowances=_lists(
            Allowance, plan=_names, service=_names, rate_per_s=_numbers
        ),
        shift_caps=_lists(ShiftCap, service=_names, percent=_numbers),
    ),
    drains=_lists(Drain, scope=st.sampled_from(DrainScope), name=_names),
)


def _store(limit=256):
    return ConfigStore(ConfigInForce(), limit)


def _numbered(configs):
    replace = msgspec.structs.replace
    return [replace(cfg, version=at) for at, cfg in enumerate(configs, 1)]


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(_configs, min_size=2, max_size=6), st.data())
def test_steps_equal_snapshots(configs, data):
    """Guards against any chain of steps that differs from a snapshot."""
    chain = _numbered(configs)
    origin, child = _store(), _store()
    origin.apply_committed(chain[0])
    child.apply_snapshot(origin.encoded.payload, origin.encoded.digest)
    for cfg in chain[1:]:
        origin.apply_committed(cfg)
        if data.draw(st.booleans()):
            _catch_up(origin, child)
    _catch_up(origin, child)
    assert child.encoded.payload == EncodedConfig.canonical(chain[-1]).payload
    assert child.in_force.current == chain[-1]


def _catch_up(origin, child):
    version = child.in_force.version
    if version == origin.in_force.version:
        return
    steps = origin.deltas_since(version)
    encoded = origin.encoded
    if steps is None:
        taken = child.apply_snapshot(encoded.payload, encoded.digest)
    else:
        taken = child.apply_deltas(steps, encoded.digest)
    assert taken is ApplyResult.applied


def _callers(count, plan_of_first='gold'):
    plans = ['gold'] * count
    plans[0] = plan_of_first
    return Plans(
        plans=(Plan(name='gold'),),
        callers=tuple(
            Caller(name=f'caller-{at}', plan=plan)
            for at, plan in enumerate(plans)
        ),
    )


def test_one_changed_caller_is_a_short_step():
    """Guards against a delta that grows with the number of callers."""
    old = Configuration(version=1, plans=_callers(1000))
    new = Configuration(version=2, plans=_callers(1000, 'tin'))
    step = msgspec.msgpack.encode(diff(old, new))
    assert len(step) < 100


def test_history_is_bounded_and_lagging_children_get_a_snapshot():
    """Guards against unbounded memory and steps longer than a snapshot."""
    store = _store(limit=4)
    for version in range(1, 9):
        plans = _callers(100, f'plan-{version}')
        store.apply_committed(Configuration(version=version, plans=plans))
    assert len(store.deltas_since(4)) == 4
    assert store.deltas_since(3) is None
    small = _store()
    for version in range(1, 9):
        plans = Plans(callers=(Caller(name=f'c{version}' * 9, plan='a'),))
        small.apply_committed(Configuration(version=version, plans=plans))
    assert small.deltas_since(1) is None
    assert len(small.deltas_since(7)) == 1


def test_wrong_results_are_never_in_force():
    """Guards against corrupt, forged, reordered and duplicate deltas."""
    origin, child = _store(), _store()
    for version in (1, 2, 3):
        plans = _callers(50, f'plan-{version}')
        origin.apply_committed(Configuration(version=version, plans=plans))
    good = origin.encoded
    steps = origin.deltas_since(1)
    first = EncodedConfig.canonical(
        Configuration(version=1, plans=_callers(50, 'plan-1'))
    )
    assert child.apply_deltas(steps, good.digest) is ApplyResult.base_mismatch
    forged = good.payload.replace(b'caller-7', b'caller-x')
    assert child.apply_snapshot(forged, good.digest) is ApplyResult.corrupt
    assert child.in_force.current is None
    child.apply_snapshot(first.payload, first.digest)
    assert (
        child.apply_deltas(steps[1:], good.digest) is ApplyResult.base_mismatch
    )
    assert (
        child.apply_deltas(steps[::-1], good.digest)
        is ApplyResult.base_mismatch
    )
    bent = (steps[0].replace(b'plan-2', b'plan-x'), b'\x00')
    assert child.apply_deltas(bent, good.digest) is ApplyResult.corrupt
    assert child.apply_deltas(steps[:1], good.digest) is ApplyResult.corrupt
    assert child.in_force.version == 1
    assert child.apply_deltas(steps, good.digest) is ApplyResult.applied
    assert child.apply_deltas(steps, good.digest) is ApplyResult.base_mismatch
    assert (
        child.apply_snapshot(first.payload, first.digest)
        is ApplyResult.not_newer
    )
    assert child.encoded == good


def test_whole_numbers_and_floats_have_one_digest():
    """Guards against endless snapshots for a default of another type."""
    plans = builders.small_plans(1)
    exact = builders.small_plans(1.0)
    assert (
        EncodedConfig.canonical(Configuration(version=1, plans=plans)).digest
        == EncodedConfig.canonical(Configuration(version=1, plans=exact)).digest
    )
