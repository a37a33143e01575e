"""Passes answers of targets on to callers, in the order of the requests."""

import asyncio
from collections.abc import Callable
from typing import Any

from ..pipelined_request import PipelinedRequest
from .answer_body import AnswerBody
from .answers import Send, TargetAnswer, buffered_body, send_answer
from .attempt import abort, headers_for_caller
from .pacing import LinkPacer
from .request_state import RequestState
from .retry_policy import MIN_ATTEMPT_S
from .wire import WireFormat


class AnswerSender:
    """Passes answers of targets on.

    :param wire: drops the headers that concern one connection only.
    :param pacer: paces large answers on a slow link.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self, wire: WireFormat, pacer: LinkPacer, now: Callable[[], float]
    ) -> None:
        self._wire = wire
        self._pacer = pacer
        self._now = now

    async def pass_on(
        self,
        state: RequestState,
        answer: TargetAnswer,
        scope: Any,
        send: Send,
    ) -> bool:
        """Pass an answer on once it is its turn.

        :param state: the request.
        :param answer: the start of the answer.
        :param scope: the ASGI scope of the request.
        :param send: sends to the caller.
        :returns: whether the caller was sent the whole answer; the
            connection to it is ended otherwise.
        """
        pipelined: PipelinedRequest = scope['state']['pipelined_request']
        body = AnswerBody(answer, pipelined.memory)
        try:
            await body.read_until_turn(pipelined, self._left_s(state.ends_at))
            # The time in which other answers went first does not count.
            left_s = self._left_s(state.ends_at + pipelined.turn_wait_s)
            # A complete answer is delivered also when late: ending the
            # connection would lose the answers behind it, too.
            async with asyncio.timeout(None if body.is_complete else left_s):
                await self._send(answer, body, send)
        except (Exception, asyncio.CancelledError) as exc:
            # The connection is ended, so that the caller does not mistake a
            # truncated answer for a complete one.
            abort(answer.exchange)
            scope['state']['abort']()
            state.trail.append(f'answer cut: {exc!r}')
            return False
        finally:
            body.discard()
        return True

    async def send_buffered(self, answer: TargetAnswer, send: Send) -> None:
        """Send an answer whose body is complete.

        :param answer: the answer.
        :param send: sends to the caller.
        """
        headers = headers_for_caller(self._wire, answer)
        await send_answer(
            answer, headers, buffered_body(answer), send, self._pacer
        )

    async def _send(
        self, answer: TargetAnswer, body: AnswerBody, send: Send
    ) -> None:
        headers = headers_for_caller(self._wire, answer)
        await send_answer(answer, headers, body.chunks(), send, self._pacer)

    def _left_s(self, ends_at: float) -> float:
        return max(ends_at - self._now(), MIN_ATTEMPT_S)
