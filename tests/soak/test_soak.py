"""Short soaks of the real programs under injected faults.

They guard against faults that the programs survive one by one but not
together. Seeds that failed before are played again.
"""

import asyncio
import pathlib

import pytest

from soak.checks import find_violations
from soak.run import Soak

#: Seed, length of the traffic in seconds and version of the plan of the soaks
#: always played. The plan of seed 425 has leaving notices, pauses, cut links,
#: ends of all control instances and reassigned addresses; in that of seed 1007
#: a target names a limit for ten seconds; in that of seed 2511 two requests
#: end each target that runs them. In those of version 5 an entry instance, the
#: only one of its domain, is cut off from all targets, in each form.
SHORT_SOAKS = (
    (425, 24.0, 2),
    (1007, 24.0, 3),
    (2511, 24.0, 4),
    (5529, 24.0, 5),
    (5964, 24.0, 5),
    (4173, 24.0, 5),
)
FAILED_SEEDS = pathlib.Path(__file__).with_name('seeds.txt')


def _failed_soaks():
    lines = FAILED_SEEDS.read_text().splitlines()
    fields = [line.split() for line in lines if not line.startswith('#')]
    return [
        (int(seed), float(length), int(version))
        for seed, length, version, *_ in fields
    ]


@pytest.mark.parametrize(
    ('seed', 'length_s', 'version'), [*SHORT_SOAKS, *_failed_soaks()]
)
def test_soak_has_no_violations(seed, length_s, version, tmp_path):
    """Guards against promises broken under several faults at a time."""
    soak = Soak(seed, length_s, tmp_path, version)
    evidence = asyncio.run(soak.run())
    assert not find_violations(evidence)
    assert len(evidence.calls) > length_s * 5
