"""Requests that reach an entry instance after SIGTERM.

The tests guard against requests that are passed on although the process may
end before their answers do.
"""

import asyncio

import pytest

from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.gateway.stop_window import MIN_COUNT, StopWindow
from tests.waiting import eventually

from .builders import ScriptedTarget, answer, gateway
from .builders_steps import ALL, StepTarget, slow_link

pytestmark = [pytest.mark.looptime]

GRACE_S = 6.0
SOUND = (200, b'whole')
#: An answer that is passed on as it arrives, for longer than the grace period.
DRIP = [(0.1, 6000 + 200 * piece) for piece in range(100)]


def _stop(harness) -> StopWindow:
    """Begin to stop as the daemon does."""
    loop = asyncio.get_running_loop()
    window = StopWindow.from_grace(GRACE_S, loop.time())
    harness.server.start_drain()
    harness.proxy.stop_limits.begin(window)
    return window


async def test_body_that_may_outlast_the_stop_is_not_begun():
    """Guards against the limit of a head that is taken for that of an answer.

    The time limit of the route ends before the process does, but a body that
    has begun to arrive by then may go on.
    """
    target = StepTarget({'/a/0': [*DRIP, (0.1, ALL)]})
    async with slow_link(target) as (harness, caller):
        _stop(harness)
        await asyncio.sleep(4.0)
        caller.request(0)
        assert (await caller.read_status())[0] == 503
        assert not target.heads


async def test_nothing_is_read_behind_an_answer_that_may_outlast_the_stop():
    """Guards against requests that are cut together with the one in front."""
    target = StepTarget({'/a/0': [*DRIP, (0.1, ALL)]})
    async with slow_link(target, timeout_s=20.0) as (harness, caller):
        caller.request(0)
        await caller.read_head()
        window = _stop(harness)
        caller.request(1)
        await asyncio.sleep(window.exits_at - asyncio.get_running_loop().time())
        assert target.paths == ['/a/0']
        assert harness.proxy.running_requests == 1


async def test_request_behind_an_answer_that_ends_in_time_is_answered():
    """Guards against a connection that is not read after its answer."""
    target = StepTarget({'/a/0': [*DRIP[:20], (0.1, ALL)]})
    async with slow_link(target, timeout_s=1.5) as (harness, caller):
        caller.request(0)
        head = await caller.read_head()
        _stop(harness)
        caller.request(1)
        await asyncio.sleep(1.0)
        assert target.paths == ['/a/0']
        length = int(head.partition(b'content-length: ')[2].split()[0])
        await caller.reader.readexactly(length)
        assert b'connection: close' in await caller.read_head()
        assert await caller.read_rest() == SOUND[1]


@pytest.mark.parametrize(
    ('repeat', 'status'),
    [(RepeatPolicy.once, b' 503 '), (RepeatPolicy.idempotent, b' 200 ')],
)
async def test_estimates_do_not_count_for_requests_that_run_once(
    repeat, status
):
    """Guards against a service that turns slow with such a request."""
    now = asyncio.get_running_loop().time
    target = ScriptedTarget(answer)
    options = {'timeout_s': 20.0, 'now': now, 'repeat': repeat}
    async with gateway(target, **options) as harness:
        for _ in range(MIN_COUNT):
            assert b' 200 ' in await harness.request(deadline_ms=20_000)
        _stop(harness)
        await asyncio.sleep(0.1)
        assert status in await harness.request(deadline_ms=20_000)


async def test_requests_that_wait_as_the_stop_begins_go_by_estimates():
    """Guards against a refusal of all that have waited for their turn."""
    now = asyncio.get_running_loop().time
    target = ScriptedTarget(answer)
    options = {'timeout_s': 20.0, 'now': now, 'repeat': RepeatPolicy.once}
    async with gateway(target, **options) as harness:
        for _ in range(MIN_COUNT):
            assert b' 200 ' in await harness.request(deadline_ms=20_000)
        async with harness.connection() as caller:
            caller.write(
                b'POST /a/x HTTP/1.1\r\nHost: shop.example\r\n'
                b'X-Request-Id: id1\r\nContent-Length: 1\r\n\r\n'
            )
            await eventually(lambda: bool(harness.proxy.running_requests))
            _stop(harness)
            caller.write(b'x')
            await eventually(lambda: len(target.heads) == MIN_COUNT + 1)
