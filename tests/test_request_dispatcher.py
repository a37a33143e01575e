"""Tests of the attempts of a request."""

import pytest

from cuminhoist.types import Ran

from .steering_fleet import World


@pytest.mark.parametrize(
    ('mode', 'ran'), [('lose', 'unknown'), ('shed', 'not-run')]
)
def test_refusal_after_a_lost_attempt_says_unknown(mode, ran):
    """Guards against a false not-run when only a further attempt is refused.

    The first attempt may have run at its target; the second one finds no
    target that it has not tried. A target that is ejected runs nothing.
    """
    world = World(targets=1).start()
    try:
        # The first requests earn the retry.
        for _ in range(15):
            assert world.run(world.send('a1')).result == 'answered'
        for fake in world.targets.values():
            fake.mode = mode
        sent = [world.run(world.send('a1')) for _ in range(3)]
        assert Ran(ran) in {each.result for each in sent}
        assert world.violations() == []
    finally:
        world.close()
