"""Tests of the refusal of a request after several attempts."""

import pytest

from cuminhoist.types import Ran

from .steering_fleet import World


@pytest.mark.parametrize(
    ('mode', 'ran'), [('lose', 'unknown'), ('shed', 'not-run')]
)
def test_refusal_after_a_lost_attempt_says_unknown(mode, ran):
    """Guards against a false not-run when only the retry is refused.

    The first attempt may have run at its target; the retry finds no target
    that was not tried. An ejected target runs nothing.
    """
    world = World(targets=1).start()
    try:
        # The retry budget grows with the number of requests.
        for _ in range(15):
            assert world.run(world.send('a1')).result == 'answered'
        for fake in world.targets.values():
            fake.mode = mode
        records = [world.run(world.send('a1')) for _ in range(3)]
        assert Ran(ran) in {record.result for record in records}
        assert world.violations() == []
    finally:
        world.close()
