"""Tests of the stand-in upstreams through the target client."""

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


class Stage:
    """One stand-in and a client."""

    async def __aenter__(self):
        target = raw_target(builders.free_ports(1)[0], slots=2)
        self.upstreams = StandinUpstreams((target,))
        self.state = self.upstreams.state('raw')
        self.client = HttpxTargetClient()
        self.ends = []
        await self.upstreams.start()
        return self

    async def __aexit__(self, *_exc):
        await self.client.close()
        await self.upstreams.stop()

    def behave(self, **settings):
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
            lambda outcome, _latency: self.ends.append(outcome),
        )
        outcome = await self.client.send(self.state.target, attempt)
        if not isinstance(outcome, Success):
            return outcome.failure()
        answer = outcome.unwrap()
        return answer, b''.join([chunk async for chunk in answer.body])


@pytest.mark.parametrize(
    ('crash', 'outcome'),
    [
        (ConnectionDrop.before, SlotOutcome.unknown),
        (ConnectionDrop.during, SlotOutcome.unknown),
        (ConnectionDrop.after, SlotOutcome.answered),
    ],
)
@pytest.mark.parametrize('chunked', [False, True])
async def test_crash(crash, outcome, chunked):
    """Guards against a wrong verdict on a target that crashes."""
    async with Stage() as stage:
        stage.behave(crash=crash, body_bytes=200_000, chunked=chunked)
        if crash == ConnectionDrop.before:
            assert (await stage.send()).reason == Reason.target_lost
        elif crash == ConnectionDrop.during:
            with pytest.raises(IncompleteAnswerError):
                await stage.send()
        else:
            _, body = await stage.send()
            assert len(body) == 200_000
        assert stage.ends == [outcome]
        assert len(stage.state.started) == 1


async def test_load_shedding_and_report():
    """Guards against stand-ins that run more than their slots allow."""
    async with Stage() as stage:
        stage.behave(work_s=60, load_lag_s=60, load_error=5)
        running = [
            asyncio.create_task(stage.send(timeout_s=100)) for _ in range(3)
        ]
        done, _ = await asyncio.wait(
            running, return_when=asyncio.FIRST_COMPLETED
        )
        assert done.pop().result().ran == Ran.not_run
        _, lagging = await stage.send('/load')
        stage.behave(work_s=60)
        _, current = await stage.send('/load')
        for task in running:
            task.cancel()
        assert msgspec.json.decode(lagging)['in_flight'] == 5
        assert msgspec.json.decode(current)['in_flight'] == 2
        assert (stage.state.shed, stage.state.most_in_flight) == (1, 2)


@pytest.mark.parametrize('works_on', [False, True])
async def test_cancellation(works_on):
    """Guards against stand-ins that hide work that goes on."""
    async with Stage() as stage:
        work_s = 0.1 if works_on else 60
        stage.behave(work_s=work_s, works_on=works_on, honours_deadline=False)
        # The connection is open before the time of the request starts.
        await stage.send('/load')
        refusal = await stage.send(timeout_s=0.05)
        assert refusal.reason == Reason.target_timeout
        while stage.state.in_flight:
            await asyncio.sleep(0.01)
        assert len(stage.state.started) == 1
        assert len(stage.state.served) == works_on
        assert stage.state.cancelled == (not works_on)


async def test_cold_start_and_drain():
    """Guards against stand-ins that are never cold and never leave."""
    async with Stage() as stage:
        stage.behave(cold_factor=3, cold_requests=1, work_s=1, draining=True)
        assert stage.state.work_s() == 3
        stage.state.started.extend([None, None])
        assert stage.state.work_s() == 1
        stage.behave(draining=True)
        for _ in range(2):
            answer, _ = await stage.send()
            assert (b'x-draining', b'1') in answer.headers
            assert (b'connection', b'close') in answer.headers
