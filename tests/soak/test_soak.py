"""Short soaks of the real programs under injected faults.

They guard against faults that the programs survive one by one but not
together. Seeds that failed before are played again.
"""

import asyncio
import pathlib

import pytest

from soak.checks import find_violations
from soak.run import Soak

#: Seed, and length of the traffic in seconds, of the soaks always played.
SHORT_SOAKS = ((11, 24.0),)
FAILED_SEEDS = pathlib.Path(__file__).with_name('seeds.txt')


def _failed_soaks():
    lines = FAILED_SEEDS.read_text().splitlines()
    fields = [line.split() for line in lines if not line.startswith('#')]
    return [(int(seed), float(length)) for seed, length, *_ in fields]


@pytest.mark.parametrize(('seed', 'length_s'), [*SHORT_SOAKS, *_failed_soaks()])
def test_soak_has_no_violations(seed, length_s, tmp_path):
    """Guards against promises broken under several faults at a time."""
    soak = Soak(seed, length_s, tmp_path)
    evidence = asyncio.run(soak.run())
    assert not find_violations(evidence)
    assert len(evidence.calls) > length_s * 5
