"""Soaks with two versions side by side, and tests of their plans.

They guard against a change of messages or stored records that loses state or
requests while the instances of one version replace those of another.
"""

import asyncio
import io
import pathlib
import subprocess
import tarfile
import tomllib

import pytest

from soak.checks import find_violations
from soak.run import Soak
from soak.upgrades import UpgradePlan

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROLS = ('c1', 'c2', 'c3')
ENTRIES = ('e1', 'e2')
#: In the plan of seed 8 the former version replaces the present one.
SEEDS = (3, 8)
LENGTH_S = 24.0


def _plan(seed):
    return UpgradePlan.from_seed(seed, CONTROLS, ENTRIES, 4, 24)


@pytest.fixture(scope='module')
def production_build(tmp_path_factory):
    """Return a checkout of the version that the deploy file names."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    archive = subprocess.run(
        ['git', 'archive', deploy['production'], 'src', 'deploy'],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    folder = tmp_path_factory.mktemp('production')
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter='data')
    return folder


def test_all_instances_are_replaced_within_the_faults():
    """Guards against upgrades that end after the last fault."""
    for seed in range(50):
        plan = _plan(seed)
        assert sorted(plan.order) == sorted(CONTROLS + ENTRIES)
        assert all(4 < at_s < 24 for at_s in plan.at_s)
        assert sorted(plan.at_s) == list(plan.at_s)


def test_plans_differ_in_order_and_direction():
    """Guards against soaks that play one order only."""
    plans = [_plan(seed) for seed in range(50)]
    assert {plan.order[0][0] for plan in plans} == {'c', 'e'}
    assert {plan.downgrade for plan in plans} == {False, True}


@pytest.mark.parametrize('seed', SEEDS)
def test_upgrade_has_no_violations(seed, production_build, tmp_path):
    """Guards against promises broken while two versions run side by side."""
    soak = Soak(seed, LENGTH_S, tmp_path, former_build=production_build)
    evidence = asyncio.run(soak.run())
    assert not find_violations(evidence)
    assert len(evidence.calls) > LENGTH_S * 5
