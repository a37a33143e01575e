"""A short soak of the real programs, and the seeds that failed once."""

import asyncio
import pathlib

import pytest

from soak.checks import violations
from soak.run import Soak

#: Seed and length in seconds of the soak that each run of the tests plays.
SHORT = ((11, 24.0),)
SEEDS = pathlib.Path(__file__).with_name('seeds.txt')


def _kept():
    lines = SEEDS.read_text().splitlines()
    fields = [line.split() for line in lines if not line.startswith('#')]
    return [(int(seed), float(length)) for seed, length, *_ in fields]


@pytest.mark.parametrize(('seed', 'length_s'), [*SHORT, *_kept()])
def test_nothing_is_violated(seed, length_s, tmp_path):
    """Guards against faults that the programs do not bear together."""
    soak = Soak(seed, length_s, tmp_path)
    evidence = asyncio.run(soak.run())
    assert not violations(evidence)
    assert len(evidence.calls) > length_s * 5
