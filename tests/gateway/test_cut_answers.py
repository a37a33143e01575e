"""Requests behind an answer that is not complete in time.

The tests guard against requests that were passed on to sound targets and get
no answer, since an answer before them ended the connection.
"""

import asyncio

import pytest

from cuminhoist.caller_memory import MemoryLimits
from tests.waiting import eventually

from .builders_steps import (
    ALL,
    BODY,
    STALL,
    TIMEOUT_S,
    StepTarget,
    slow_link,
)

pytestmark = [pytest.mark.looptime]

#: Bytes of a body that is passed on, since more than the buffer has arrived.
PART = 6000
#: A large body of which a part has arrived shortly before the time limit.
LATE = [
    (TIMEOUT_S - 0.1, PART),
    *((0.05, PART + 3000 * piece) for piece in range(1, 8)),
    (0.05, ALL),
]
SOUND = (200, b'whole')
#: How a target fails within a body, and the status that takes its place.
FAILURES = [
    pytest.param((0, STALL), 504, id='stall'),
    pytest.param((0.1, PART), 502, id='break-off'),
]


async def test_body_on_its_way_at_the_time_limit_is_delivered():
    """Guards against ending an answer although its bytes keep arriving."""
    target = StepTarget({'/a/0': LATE})
    async with slow_link(target) as (_, caller):
        caller.request(0, 1, 2)
        assert await caller.read_status() == (200, BODY)
        assert await caller.read_status() == SOUND
        assert await caller.read_status() == SOUND


@pytest.mark.parametrize(('last_step', 'status'), FAILURES)
async def test_requests_behind_an_incomplete_answer_are_answered(
    last_step, status
):
    """Guards against a target that takes the answers of others along."""
    target = StepTarget({'/a/0': [(0.1, PART), last_step]})
    async with slow_link(target) as (_, caller):
        caller.request(0, 1, 2)
        assert (await caller.read_status())[0] == status
        assert await caller.read_status() == SOUND
        assert await caller.read_status() == SOUND


@pytest.mark.parametrize(('last_step', '_status'), FAILURES)
async def test_requests_behind_a_begun_answer_are_not_passed_on(
    last_step, _status
):
    """Guards against a run whose answer an earlier one may take along."""
    target = StepTarget({'/a/0': [(0.1, PART), last_step]})
    async with slow_link(target) as (_, caller):
        caller.request(0)
        assert b' 200 ' in await caller.read_head()
        caller.request(1, 2)
        assert len(await caller.read_rest()) < len(BODY)
    assert target.paths == ['/a/0']


async def test_requests_behind_a_begun_answer_start_once_it_has_arrived():
    """Guards against requests that are held longer than needed, or forever."""
    target = StepTarget({'/a/0': [(0.1, PART), (0.5, ALL)]})
    async with slow_link(target) as (_, caller):
        caller.request(0)
        await caller.read_head()
        caller.request(1, 2)
        assert await caller.reader.readexactly(len(BODY)) == BODY
        assert await caller.read_status() == SOUND
        assert await caller.read_status() == SOUND


@pytest.mark.parametrize(('last_step', 'status'), FAILURES)
async def test_waiting_answer_that_fails_does_not_end_the_connection(
    last_step, status
):
    """Guards against ending a connection over an answer not yet begun."""
    target = StepTarget(
        {'/a/0': [(0.5, ALL)], '/a/1': [(0.1, PART), last_step]}
    )
    async with slow_link(target) as (_, caller):
        caller.request(0, 1, 2)
        assert await caller.read_status() == (200, BODY)
        assert (await caller.read_status())[0] == status
        assert await caller.read_status() == SOUND


async def test_answer_whose_turn_comes_while_it_arrives_goes_on():
    """Guards against a reader that is not woken any more after the turn."""
    body = bytes(200_000)
    steps = {'/a/0': [(0.3, ALL)], '/a/1': [(0.1, 70_000), (0.4, ALL)]}
    async with slow_link(
        StepTarget(steps, body), link_bytes_per_s=float('inf')
    ) as (_, caller):
        caller.request(0, 1)
        assert await caller.read_status() == (200, body)
        assert await caller.read_status() == (200, body)


async def test_answer_past_the_bounds_on_memory_is_begun():
    """Guards against an answer that waits for memory that it holds itself."""
    body = bytes(300_000)
    steps = {'/a/0': [(0.1, PART), (0.1, ALL)]}
    async with slow_link(StepTarget(steps, body)) as (harness, caller):
        memory = harness.server.server_state.memory
        memory.limits = MemoryLimits(connection_bytes=50_000)
        caller.request(0, 1)
        assert await caller.read_status() == (200, body)
        assert await caller.read_status() == SOUND


async def test_leaving_caller_ends_an_answer_that_is_read_whole():
    """Guards against targets that work on for a caller that has gone."""
    target = StepTarget({'/a/0': [(0.1, PART), (0, STALL)]})
    async with slow_link(target) as (harness, caller):
        caller.request(0, 1)
        await eventually(lambda: len(target.heads) == 2)
        await asyncio.sleep(0.2)
        caller.writer.transport.abort()
        await asyncio.sleep(0.1)
        assert target.closed_connections == 1
        assert not harness.proxy.running_requests
        assert not sum(harness.server.server_state.memory.held.values())
