"""Requests behind one that the entry instance itself refuses or fails.

The tests guard against refusals that end the connection although requests
behind them run at targets.
"""

import asyncio

import msgspec
import pytest

from cuminhoist.gateway.routes import CallerLimits
from tests.builders_pipelining import post
from tests.waiting import eventually

from .builders import HOST
from .builders_steps import ALL, BODY, StepTarget, slow_link

pytestmark = [pytest.mark.looptime]

SOUND = (200, b'whole')
#: Longest body of a request, in bytes.
MAX_BODY_BYTES = 1000


def _limit_bodies(harness) -> None:
    state = harness.proxy.routing_state
    limits = CallerLimits(max_body_bytes=MAX_BODY_BYTES)
    state.replace_routes(msgspec.structs.replace(state.routes, limits=limits))


async def test_nothing_runs_behind_a_malformed_host():
    """Guards against a run behind a refusal that closes the connection."""
    target = StepTarget({'/a/0': [(0.2, ALL)]})
    async with slow_link(target) as (_, caller):
        caller.request(0)
        caller.send(b'GET /a/1 HTTP/1.1\r\nHost: a/b\r\n\r\n')
        caller.request(2)
        assert await caller.read_status() == (200, BODY)
        assert (await caller.read_status())[0] == 400
        assert await caller.read_rest() == b''
    assert target.paths == ['/a/0']


async def test_requests_behind_a_large_body_are_answered():
    """Guards against a close although nothing of the body is to come."""
    target = StepTarget({})
    async with slow_link(target) as (harness, caller):
        _limit_bodies(harness)
        large = post('/a/0', bytes(MAX_BODY_BYTES + 1))
        caller.send(large.replace(b'host: x', b'host: ' + HOST.encode()))
        caller.request(1)
        assert (await caller.read_status())[0] == 413
        assert await caller.read_status() == SOUND


async def test_large_body_that_is_still_arriving_ends_the_connection():
    """Guards against reading a body without end that nobody takes."""
    async with slow_link(StepTarget({})) as (harness, caller):
        _limit_bodies(harness)
        large = post('/a/0', bytes(MAX_BODY_BYTES + 1))[:-1]
        caller.send(large.replace(b'host: x', b'host: ' + HOST.encode()))
        assert b'connection: close' in await caller.read_head()


async def test_requests_behind_an_unexpected_error_are_answered(monkeypatch):
    """Guards against a fault at one request that takes others along."""
    target = StepTarget({})
    async with slow_link(target) as (harness, caller):
        place = harness.proxy._place_and_send

        async def fail(state, *args):
            if state.req.path == '/a/0':
                await asyncio.sleep(0.1)
                raise ZeroDivisionError
            return await place(state, *args)

        monkeypatch.setattr(harness.proxy, '_place_and_send', fail)
        caller.request(0, 1)
        assert (await caller.read_status())[0] == 502
        assert await caller.read_status() == SOUND
        await eventually(lambda: not harness.proxy.running_requests)
