"""Passes answers of targets on to callers, in the order of the requests."""

import asyncio
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from ..exceptions import ProtocolError
from ..pipelined_request import PipelinedRequest
from .answer_body import AnswerBody
from .answers import (
    Send,
    TargetAnswer,
    buffered_body,
    send_answer,
    send_refusal,
)
from .attempt import abort, headers_for_caller
from .pacing import LinkPacer
from .refusals import refusal_of_incomplete_answer
from .request_state import RequestState
from .stop_limits import StopLimits
from .wire import WireFormat


class AnswerSender:
    """Passes answers of targets on.

    :param wire: drops the headers that concern one connection only.
    :param pacer: paces large answers on a slow link.
    :param now: returns monotonic time in seconds.
    :param stop_limits: limits answers that have not been begun if the
        instance stops.
    """

    def __init__(
        self,
        wire: WireFormat,
        pacer: LinkPacer,
        now: Callable[[], float],
        stop_limits: StopLimits,
    ) -> None:
        self._wire = wire
        self._pacer = pacer
        self._now = now
        self._stop_limits = stop_limits

    async def pass_on(
        self,
        state: RequestState,
        answer: TargetAnswer,
        scope: Any,
        send: Send,
    ) -> Result[None, str]:
        """Pass an answer on once it is its turn.

        If the target does not give all of it, a refusal takes its place as
        long as the caller was sent nothing of it, and the connection goes on.
        Otherwise the connection is ended, so that the caller does not mistake
        a truncated answer for a complete one.

        :param state: the request.
        :param answer: the start of the answer.
        :param scope: the ASGI scope of the request.
        :param send: sends to the caller.
        :returns: a failure, with how the request ended, if the caller was not
            sent the whole answer.
        :raises Exception: an error that is not of the target, also a
            cancellation, if nothing of the answer was sent.
        """
        pipelined: PipelinedRequest = scope['state']['pipelined_request']
        body = AnswerBody(
            answer,
            pipelined,
            state.answer_limits(self._now()),
            lambda: self._stop_limits.start_answer(state),
        )
        try:
            await self._send(state, answer, body, send)
        except (Exception, asyncio.CancelledError) as exc:
            abort(answer.exchange)
            if pipelined.answer_begun:
                scope['state']['abort']()
                state.trail.append(f'answer cut: {exc!r}')
                return Failure('cut')
            if not _is_of_target(exc):
                # The request is answered by who ends it or sees the error.
                raise
            state.trail.append(f'answer incomplete: {exc!r}')
            timed_out = isinstance(exc, TimeoutError)
        else:
            return Success(None)
        finally:
            body.discard()
        refusal = refusal_of_incomplete_answer(timed_out=timed_out)
        self._stop_limits.start_answer(state)
        await send_refusal(refusal, send)
        return Failure(f'failed-{refusal.reason}')

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
        self,
        state: RequestState,
        answer: TargetAnswer,
        body: AnswerBody,
        send: Send,
    ) -> None:
        await body.read_until_start()
        self._stop_limits.start_answer(state)
        headers = headers_for_caller(self._wire, answer)
        async with body.limit_time():
            await send_answer(answer, headers, body.chunks(), send, self._pacer)


def _is_of_target(exc: BaseException) -> bool:
    """Tell whether the target has not given all of its answer."""
    return isinstance(exc, (TimeoutError, ProtocolError))
