"""Tests of passing answers of targets on to callers."""

import asyncio
import types

import pytest
from returns.result import Failure, Result, Success

from cuminhoist.caller_memory import (
    CallerMemory,
    ConnectionMemory,
    MemoryLimits,
)
from cuminhoist.exceptions import RemoteProtocolError
from cuminhoist.gateway.answer_limits import AnswerLimits
from cuminhoist.gateway.answer_sender import AnswerSender
from cuminhoist.gateway.answers import TargetAnswer
from cuminhoist.gateway.pacing import LinkPacer
from cuminhoist.gateway.stop_limits import StopLimits
from cuminhoist.gateway.request_state import MIN_PASSING_S
from cuminhoist.platform.requests import PlatformWire

pytestmark = [pytest.mark.looptime]


class _State(types.SimpleNamespace):
    """State of a request, identified by itself."""

    __hash__ = object.__hash__


class _Exchange:
    """An exchange whose answer has no further bytes."""

    buffered = 0
    complete = False
    has_news = False

    def abort(self, _exc: RemoteProtocolError) -> None:
        """Ignore the end of the exchange."""

    async def read(self) -> bytes:
        await asyncio.Event().wait()
        return b''


async def _pass_on(*, complete: bool) -> tuple[Result[None, str], list[str]]:
    """Pass an answer on after its time limit, to a caller that reads slowly."""
    now = asyncio.get_running_loop().time
    aborts: list[str] = []
    memory = ConnectionMemory(CallerMemory(MemoryLimits()), lambda: None)
    pipelined = types.SimpleNamespace(
        memory=memory,
        has_turn=True,
        has_later_started=False,
        hold_later=lambda: None,
        answer_begun=True,
    )
    scope = {
        'state': {
            'pipelined_request': pipelined,
            'abort': lambda: aborts.append('abort'),
        }
    }

    async def send(_event) -> None:
        await asyncio.sleep(MIN_PASSING_S)

    sender = AnswerSender(
        PlatformWire(), LinkPacer(float('inf'), now), now, StopLimits(now)
    )
    state = _State(
        answer_limits=lambda _now: AnswerLimits(
            now() - 1, now() + MIN_PASSING_S
        ),
        trail=[],
    )
    answer = TargetAnswer(200, [], b'whole', complete, _Exchange())
    return await sender.pass_on(state, answer, scope, send), aborts


async def test_complete_answer_is_delivered_late():
    """Guards against ending a connection over an answer that is ready.

    The answers to requests behind it on the connection would be lost too.
    """
    assert await _pass_on(complete=True) == (Success(None), [])


async def test_answer_that_stalls_is_ended():
    """Guards against waiting for a target beyond the limit of the route."""
    assert await _pass_on(complete=False) == (Failure('cut'), ['abort'])
