"""Tests of the stand-in targets through the target client.

Other tests judge the system by what the stand-ins record, so a stand-in that
hides a run or a fault would let them pass wrongly.
"""

import asyncio

import msgspec
import pytest
from returns.result import Success

from cuminhoist.slots import SlotOutcome
from cuminhoist.target_client import (
    Attempt,
    HttpxTargetClient,
    IncompleteAnswerError,
)
from cuminhoist.types import Ran, Reason
from demo.standins import Behaviour, ConnectionDrop, StandinUpstreams

from . import builders
from .builders_carry import raw_target


class StandinFixture:
    """A stand-in target and the client that sends requests to it."""

    async def __aenter__(self):
        target = raw_target(builders.free_ports(1)[0], slots=2)
        self.upstreams = StandinUpstreams((target,))
        self.state = self.upstreams.state('raw')
        self.client = HttpxTargetClient()
        self.outcomes = []
        await self.upstreams.start()
        return self

    async def __aexit__(self, *_exc):
        await self.client.close()
        await self.upstreams.stop()

    def set_behaviour(self, **settings):
        self.upstreams.set_behaviour(Behaviour(**settings), 'raw')

    async def send(self, path='/a', timeout_s=5.0):
        async def no_body():
            yield b''

        attempt = Attempt(
            'GET',
            path,
            [],
            no_body(),
            timeout_s,
            lambda outcome, _latency: self.outcomes.append(outcome),
        )
        outcome = await self.client.send(self.state.target, attempt)
        if not isinstance(outcome, Success):
            return outcome.failure()
        answer = outcome.unwrap()
        return answer, b''.join([chunk async for chunk in answer.body])


@pytest.mark.parametrize(
    ('connection_drop', 'outcome'),
    [
        (ConnectionDrop.before, SlotOutcome.unknown),
        (ConnectionDrop.during, SlotOutcome.unknown),
        (ConnectionDrop.after, SlotOutcome.answered),
    ],
)
@pytest.mark.parametrize('chunked', [False, True])
async def test_connection_drop(connection_drop, outcome, chunked):
    """Guards against a wrong outcome when a target drops the connection."""
    async with StandinFixture() as fixture:
        fixture.set_behaviour(
            connection_drop=connection_drop, body_bytes=200_000, chunked=chunked
        )
        if connection_drop == ConnectionDrop.before:
            assert (await fixture.send()).reason == Reason.target_lost
        elif connection_drop == ConnectionDrop.during:
            with pytest.raises(IncompleteAnswerError):
                await fixture.send()
        else:
            _, body = await fixture.send()
            assert len(body) == 200_000
        assert fixture.outcomes == [outcome]
        assert len(fixture.state.started) == 1


async def test_load_shedding_and_report():
    """Guards against stand-ins that run more requests than their slots."""
    async with StandinFixture() as fixture:
        fixture.set_behaviour(work_s=60, load_lag_s=60, load_error=5)
        running = [
            asyncio.create_task(fixture.send(timeout_s=100)) for _ in range(3)
        ]
        done, _ = await asyncio.wait(
            running, return_when=asyncio.FIRST_COMPLETED
        )
        assert done.pop().result().ran == Ran.not_run
        _, lagging = await fixture.send('/load')
        fixture.set_behaviour(work_s=60)
        _, current = await fixture.send('/load')
        for task in running:
            task.cancel()
        assert msgspec.json.decode(lagging)['in_flight'] == 5
        assert msgspec.json.decode(current)['in_flight'] == 2
        assert (fixture.state.shed, fixture.state.most_in_flight) == (1, 2)


@pytest.mark.parametrize('finishes_abandoned', [False, True])
async def test_cancellation(finishes_abandoned):
    """Guards against unrecorded runs after the client disconnects."""
    async with StandinFixture() as fixture:
        work_s = 0.1 if finishes_abandoned else 60
        fixture.set_behaviour(
            work_s=work_s,
            finishes_abandoned=finishes_abandoned,
            honours_deadline=False,
        )
        # Opens the connection, so that the time-out below covers only the
        # request itself.
        await fixture.send('/load')
        refusal = await fixture.send(timeout_s=0.05)
        assert refusal.reason == Reason.target_timeout
        while fixture.state.in_flight:
            await asyncio.sleep(0.01)
        assert len(fixture.state.started) == 1
        assert len(fixture.state.served) == finishes_abandoned
        assert fixture.state.cancelled == (not finishes_abandoned)


async def test_warm_up_and_drain():
    """Guards against stand-ins without warm-up or draining header."""
    async with StandinFixture() as fixture:
        fixture.set_behaviour(
            warmup_factor=3, warmup_requests=1, work_s=1, draining=True
        )
        assert fixture.state.work_s() == 3
        fixture.state.started.extend([None, None])
        assert fixture.state.work_s() == 1
        fixture.set_behaviour(draining=True)
        for _ in range(2):
            answer, _ = await fixture.send()
            assert (b'x-draining', b'1') in answer.headers
            assert (b'connection', b'close') in answer.headers
