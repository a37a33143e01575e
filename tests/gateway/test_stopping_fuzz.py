"""Random requests around SIGTERM, with targets that answer in random steps.

The tests guard against requests that are passed on after SIGTERM and end with
the process.
"""

import asyncio
import contextlib
import random

import pytest

from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.gateway.stop_window import StopWindow

from .builders import HOST, gateway
from .builders_steps import ALL, BODY, STALL, StepTarget

pytestmark = [pytest.mark.looptime]

GRACE_S = 6.0
#: Time limit of the route and longest deadline of a caller, in seconds.
TIMEOUT_S = 1.5
MAX_DEADLINE_S = 5.0
CALLERS = 12


def _steps(rng: random.Random):
    """Return the steps of an answer: at once, late, in drips, or stalled."""
    kind = rng.choice(['whole', 'late', 'drip', 'stall', 'break'])
    if kind == 'whole':
        return [(rng.uniform(0, 0.2), ALL)]
    if kind == 'late':
        return [(rng.uniform(0.2, 2 * TIMEOUT_S), ALL)]
    count = rng.randint(1, 30)
    drip = [
        (rng.uniform(0, 0.19), len(BODY) * piece // 31)
        for piece in range(1, count)
    ]
    ends = {'drip': [(0.1, ALL)], 'stall': [(0, STALL)], 'break': []}
    return [(rng.uniform(0, 1), 0), *drip, *ends[kind]]


class _RandomTarget(StepTarget):
    """Draws the steps of each answer."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__({})
        self._rng = rng

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.heads.append(head)
                steps = _steps(self._rng)
                if not await self._send(reader, writer, head, steps):
                    break
        writer.close()


async def _call(rng: random.Random, port: int) -> None:
    """Send requests, some behind others, on one connection after the other."""
    while True:
        await asyncio.sleep(rng.uniform(0, 0.5))
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        reading = asyncio.create_task(reader.read())
        for _ in range(rng.randint(1, 4)):
            deadline_ms = rng.randint(300, int(MAX_DEADLINE_S * 1000))
            writer.write(
                f'GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: id1\r\n'
                f'X-Deadline-Ms: {deadline_ms}\r\n\r\n'.encode()
            )
            await asyncio.wait((reading,), timeout=rng.uniform(0, 1.2))
        await asyncio.wait((reading,), timeout=MAX_DEADLINE_S)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        writer.close()


@pytest.mark.parametrize('repeat', [RepeatPolicy.idempotent, RepeatPolicy.once])
@pytest.mark.parametrize('seed', range(4))
async def test_nothing_that_is_passed_on_in_a_stop_outlasts_it(seed, repeat):
    """Guards against requests that end with the process, by random loads.

    Too few have been answered before for estimates, so that only deadlines
    decide.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    target = _RandomTarget(rng)
    options = {
        'now': loop.time,
        'timeout_s': TIMEOUT_S,
        'repeat': repeat,
        'link_bytes_per_s': 250_000,
    }
    async with gateway(target, **options) as harness:
        limits = harness.proxy.stop_limits
        limits.times.needed_s = _unknown
        tasks = [
            asyncio.create_task(_call(rng, harness.port))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(rng.uniform(0.5, 3))
        window = StopWindow.from_grace(GRACE_S, loop.time())
        harness.server.start_drain()
        limits.begin(window)
        before = len(target.heads)
        await asyncio.sleep(window.exits_at - loop.time())
        assert len(target.heads) > before
        assert not [
            state
            for state in limits.limits
            if state.was_sent and state.arrived_at > window.began_at
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _unknown(*_args) -> float:
    return float('inf')
