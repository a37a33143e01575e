"""Tests of an instance that finds out whether it reaches any target."""

import pytest

from .builders import ScriptedTarget, answer, gateway


class EndedTarget(ScriptedTarget):
    """A target that is still listed and accepts no connections."""

    async def start(self):
        address = await super().start()
        self.stop()
        return address


@pytest.mark.parametrize('ended', [4, 11])
async def test_ended_targets_were_taken_for_a_cut(ended):
    """Guards against an instance that meets ended targets only by chance."""
    targets = [EndedTarget(answer) for _ in range(ended)]
    async with gateway(*targets, ScriptedTarget(answer)) as harness:
        reachability = harness.proxy.reachability
        for _ in range(20):
            assert await reachability.reaches_targets()
        assert not reachability.is_cut


async def test_instance_that_no_target_accepts_is_cut():
    """Guards against an instance that notices no cut."""
    targets = [EndedTarget(answer) for _ in range(30)]
    async with gateway(*targets) as harness:
        assert not await harness.proxy.reachability.reaches_targets()
        assert harness.proxy.reachability.is_cut
