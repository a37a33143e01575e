"""Requests behind an answer that ends the connection although it need not.

The tests guard against requests that were passed on to sound targets and get
no answer.
"""

import asyncio

import pytest

from cuminhoist.caller_memory import MemoryLimits
from cuminhoist.gateway import answer_sender
from cuminhoist.gateway.stop_window import StopWindow
from tests.waiting import eventually

from .builders import ScriptedTarget, answer
from .builders_steps import ALL, STALL, StepTarget, slow_link

pytestmark = [pytest.mark.looptime]

SOUND = (200, b'whole')


@pytest.mark.parametrize(
    'status', ['304 Not Modified', '204 No Content'], ids=['304', '204']
)
async def test_status_without_body_but_with_a_length_ends_no_connection(status):
    """Guards against a length that belongs to no body of the answer."""

    def script(head):
        if b' /a/0 ' in head:
            whole = answer(head, status=status, content_length='5')
            return whole.removesuffix(b'whole')
        return answer(head)

    target = ScriptedTarget(script)
    async with slow_link(target) as (_, caller):
        caller.request(0, 1)
        await eventually(lambda: len(target.heads) == 2)
        assert status.split()[0].encode() in await caller.read_head()
        assert await caller.read_status() == SOUND


async def test_stop_answers_requests_behind_an_answer_that_is_read_whole():
    """Guards against ready answers that are lost as the process ends."""
    drip = [(0.1, 6000 + 200 * piece) for piece in range(60)]
    target = StepTarget({'/a/0': [*drip, (0.1, ALL)]})
    async with slow_link(target, timeout_s=20.0) as (harness, caller):
        loop = asyncio.get_running_loop()
        caller.request(0, 1)
        await eventually(lambda: len(target.heads) == 2)
        window = StopWindow.from_grace(2.0, loop.time())
        harness.server.start_drain()
        harness.proxy.stop_limits.begin(window)
        async with asyncio.timeout_at(window.exits_at):
            await caller.read_status()
            assert await caller.read_status() == SOUND


async def test_stop_does_not_cut_a_failure_that_is_being_sent():
    """Guards against the limit of a waiting request on a begun answer."""
    body = bytes(4800)

    def script(head):
        if b' /a/0 ' in head:
            return answer(head, body, status='500 Failed')
        return answer(head)

    async with slow_link(ScriptedTarget(script), link_bytes_per_s=250_000) as (
        harness,
        caller,
    ):
        caller.request(0, 1)
        head = await caller.read_head()
        assert b' 500 ' in head
        loop = asyncio.get_running_loop()
        harness.proxy.stop_limits.begin(StopWindow.from_grace(0.5, loop.time()))
        assert await caller.reader.readexactly(len(body)) == body
        assert await caller.read_status() == SOUND


async def test_waiting_answers_do_not_make_the_one_before_them_begin():
    """Guards against answers read ahead that use up the room of the first."""
    body = bytes(900_000)
    target = StepTarget(
        {'/a/0': [(0.5, 70_000), (0, STALL)], '/a/1': [(0.0, ALL)]}, body
    )
    async with slow_link(target, link_bytes_per_s=float('inf')) as (
        harness,
        caller,
    ):
        memory = harness.server.server_state.memory
        memory.limits = MemoryLimits.from_memory(200e6)
        caller.request(0, 1, 2)
        assert (await caller.read_status())[0] == 504
        assert await caller.read_status() == (200, body)
        assert await caller.read_status() == SOUND


async def test_unexpected_error_before_an_answer_is_begun_ends_no_connection(
    monkeypatch,
):
    """Guards against an error at one request that takes others along."""
    target = StepTarget({'/a/0': [(0.1, ALL)]})
    async with slow_link(target) as (_, caller):
        headers_for_caller = answer_sender.headers_for_caller

        def fail(wire, begun):
            if (b'x-request-id', b'id0') in begun.headers:
                raise ZeroDivisionError
            return headers_for_caller(wire, begun)

        monkeypatch.setattr(answer_sender, 'headers_for_caller', fail)
        caller.request(0, 1)
        assert (await caller.read_status())[0] == 502
        assert await caller.read_status() == SOUND
