"""Tests of an entry instance in front of targets that name a limit.

They guard against a limit that the answers name and the dispatchers never
learn, as the targets see it.
"""

import asyncio
import time

from cuminhoist.steering.target_limits import TargetLimit

from .builders import ScriptedTarget, answer, gateway


async def test_limited_target_gets_no_more_than_it_takes():
    """Guards against requests at a target that has named its limit."""
    limited = ScriptedTarget(lambda head: answer(head, server_limit='2'))
    async with gateway(limited) as harness:
        await harness.request()
        began_at = time.monotonic()
        for number in range(30):
            await harness.request(request_id=f'id{number}')
            await asyncio.sleep(0.01)
        took_s = time.monotonic() - began_at
        local = harness.proxy._placement_client.local_dispatcher
        assert local.limits.in_force() == (TargetLimit('t0', 0, 2),)
    assert len(limited.heads) <= 2 + 2 * took_s


async def test_end_of_a_limit_is_learned():
    """Guards against a target that stays limited for good."""
    limits = iter(('5', '', '', '', ''))
    limited = ScriptedTarget(
        lambda head: answer(head, server_limit=next(limits, ''))
    )
    async with gateway(limited) as harness:
        local = harness.proxy._placement_client.local_dispatcher
        await harness.request()
        assert local.limits.in_force()
        while local.limits.in_force():
            await harness.request()
            await asyncio.sleep(0.05)
        for number in range(10):
            served = await harness.request(request_id=f'id{number}')
            assert served.startswith(b'HTTP/1.1 200')
