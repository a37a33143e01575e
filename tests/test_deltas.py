"""Tests of the deltas between configurations and of their history.

They guard against a child that applies deltas and then differs from its parent,
and against deltas or a history that grow without a bound.
"""

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


def _with_versions(configs):
    replace = msgspec.structs.replace
    return [replace(cfg, version=index) for index, cfg in enumerate(configs, 1)]


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(_configs, min_size=2, max_size=6), st.data())
def test_steps_equal_snapshots(configs, data):
    """Guards against deltas whose result differs from a snapshot."""
    chain = _with_versions(configs)
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
        result = child.apply_snapshot(encoded.payload, encoded.digest)
    else:
        result = child.apply_deltas(steps, encoded.digest)
    assert result is ApplyResult.applied


def _callers(count, plan_of_first='gold'):
    plans = ['gold'] * count
    plans[0] = plan_of_first
    return Plans(
        plans=(Plan(name='gold'),),
        callers=tuple(
            Caller(name=f'caller-{index}', plan=plan)
            for index, plan in enumerate(plans)
        ),
    )


def test_one_changed_caller_is_a_short_step():
    """Guards against a delta that grows with the number of callers."""
    old = Configuration(version=1, plans=_callers(1000))
    new = Configuration(version=2, plans=_callers(1000, 'tin'))
    encoded = msgspec.msgpack.encode(diff(old, new))
    assert len(encoded) < 100


def test_history_is_bounded_and_lagging_children_get_a_snapshot():
    """Guards against unbounded history, and deltas longer than a snapshot."""
    store = _store(limit=4)
    for version in range(1, 9):
        plans = _callers(100, f'plan-{version}')
        store.apply_committed(Configuration(version=version, plans=plans))
    assert len(store.deltas_since(4)) == 4
    assert store.deltas_since(3) is None
    short_store = _store()
    for version in range(1, 9):
        plans = Plans(callers=(Caller(name=f'c{version}' * 9, plan='a'),))
        short_store.apply_committed(Configuration(version=version, plans=plans))
    assert short_store.deltas_since(1) is None
    assert len(short_store.deltas_since(7)) == 1


def test_wrong_results_are_never_in_force():
    """Guards against applying corrupt, forged, reordered or repeated deltas."""
    origin, child = _store(), _store()
    for version in (1, 2, 3):
        plans = _callers(50, f'plan-{version}')
        origin.apply_committed(Configuration(version=version, plans=plans))
    newest = origin.encoded
    steps = origin.deltas_since(1)
    oldest = EncodedConfig.canonical(
        Configuration(version=1, plans=_callers(50, 'plan-1'))
    )
    assert child.apply_deltas(steps, newest.digest) is ApplyResult.base_mismatch
    forged = newest.payload.replace(b'caller-7', b'caller-x')
    assert child.apply_snapshot(forged, newest.digest) is ApplyResult.corrupt
    assert child.in_force.current is None
    child.apply_snapshot(oldest.payload, oldest.digest)
    assert (
        child.apply_deltas(steps[1:], newest.digest)
        is ApplyResult.base_mismatch
    )
    assert (
        child.apply_deltas(steps[::-1], newest.digest)
        is ApplyResult.base_mismatch
    )
    corrupt_deltas = (steps[0].replace(b'plan-2', b'plan-x'), b'\x00')
    assert (
        child.apply_deltas(corrupt_deltas, newest.digest) is ApplyResult.corrupt
    )
    assert child.apply_deltas(steps[:1], newest.digest) is ApplyResult.corrupt
    assert child.in_force.version == 1
    assert child.apply_deltas(steps, newest.digest) is ApplyResult.applied
    assert child.apply_deltas(steps, newest.digest) is ApplyResult.base_mismatch
    assert (
        child.apply_snapshot(oldest.payload, oldest.digest)
        is ApplyResult.not_newer
    )
    assert child.encoded == newest


def test_whole_numbers_and_floats_have_one_digest():
    """Guards against a digest that differs between 1 and 1.0.

    A child would then reject all deltas and ask for snapshots for ever.
    """
    plans = builders.small_plans(1)
    float_plans = builders.small_plans(1.0)
    assert (
        EncodedConfig.canonical(Configuration(version=1, plans=plans)).digest
        == EncodedConfig.canonical(
            Configuration(version=1, plans=float_plans)
        ).digest
    )
