"""How long an answer that arrives slowly holds up those behind it.

The tests guard against ready answers that wait for a target that sends some
bytes now and then, up to the deadline of the caller in front.
"""

import asyncio

import pytest

from cuminhoist.gateway.answer_limits import MAX_HOLDING_S

from .builders_steps import ALL, BODY, TIMEOUT_S, StepTarget, slow_link

pytestmark = [pytest.mark.looptime]

SOUND = (200, b'whole')
#: Bytes that arrive now and then, but never for longer than a silence.
DRIP = [(0.15, 6000 + 200 * piece) for piece in range(12)]


async def test_answer_that_drips_holds_up_others_for_a_bounded_time():
    """Guards against a wait for the front answer up to its deadline."""
    target = StepTarget({'/a/0': [*DRIP, (0.1, ALL)]})
    async with slow_link(target) as (_, caller):
        now = asyncio.get_running_loop().time
        sent_at = now()
        caller.request(0, 1, 2)
        assert (await caller.read_status())[0] == 504
        assert await caller.read_status() == SOUND
        assert await caller.read_status() == SOUND
        assert now() - sent_at <= TIMEOUT_S + MAX_HOLDING_S


async def test_answers_that_drip_one_after_another_do_not_add_up_their_limits():
    """Guards against a limit that starts anew with each turn."""
    steps = [*DRIP, (0.1, ALL)]
    target = StepTarget({'/a/0': steps, '/a/1': steps})
    async with slow_link(target) as (_, caller):
        now = asyncio.get_running_loop().time
        sent_at = now()
        caller.request(0, 1, 2)
        assert (await caller.read_status())[0] == 504
        assert (await caller.read_status())[0] == 504
        assert await caller.read_status() == SOUND
        assert now() - sent_at <= TIMEOUT_S + 2 * MAX_HOLDING_S


async def test_answer_that_holds_up_nobody_is_delivered_late():
    """Guards against ending an answer that arrives, for nobody's good."""
    target = StepTarget({'/a/0': [*DRIP, (0.1, ALL)]})
    async with slow_link(target) as (_, caller):
        caller.request(0)
        assert await caller.read_status() == (200, BODY)
