"""Sends answers to callers: answers of targets and refusals."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import Any

import msgspec

from ..exchange import Exchange, Headers
from ..pipelined_request import PipelinedRequest
from ..problems import PROBLEM_TYPE, Refusal, encode_problem
from ..types import Ran, Reason
from .answer_limits import AnswerLimits, read_in_time
from .pacing import LinkPacer

_UNAUTHORIZED_STATUS = 401
#: RFC 9110, section 11.6.1: a 401 names the scheme that is accepted.
_CHALLENGE = (b'www-authenticate', b'Bearer')

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class TargetAnswer(msgspec.Struct, frozen=True):
    """The head and the first body bytes of a target's answer.

    :param body: body bytes that have arrived.
    :param body_complete: whether they are the whole body.
    :param exchange: the exchange that the rest of the body is read from.
    """

    status: int
    headers: Headers
    body: bytes
    body_complete: bool
    exchange: Exchange


async def read_answer_start(
    exchange: Exchange,
    buffer_bytes: int,
    limits: AnswerLimits,
    body_timeout_s: float | None = None,
) -> TargetAnswer:
    """Return the first body bytes of an answer whose head has arrived.

    Raises the error with which the exchange fails, or TimeoutError.

    :param exchange: the request that was sent.
    :param buffer_bytes: body bytes to read before the answer is passed on.
    :param limits: until when they may arrive.
    :param body_timeout_s: how long to wait for these bytes, in seconds; None
        for no limit.
    """
    chunks: list[bytes] = []
    complete = False
    limit = asyncio.timeout(body_timeout_s)
    try:
        async with limit:
            complete = await _read_chunks(
                exchange, buffer_bytes, limits, chunks
            )
    except TimeoutError:
        if not limit.expired():
            raise
    return TargetAnswer(
        exchange.status,
        exchange.headers,
        b''.join(chunks),
        complete,
        exchange,
    )


async def _read_chunks(
    exchange: Exchange,
    buffer_bytes: int,
    limits: AnswerLimits,
    chunks: list[bytes],
) -> bool:
    """Add body bytes to the chunks; return whether the body is complete."""
    size = 0
    while size < buffer_bytes:
        chunk = await read_in_time(exchange, limits)
        if not chunk:
            return True
        chunks.append(chunk)
        size += len(chunk)
    return False


async def send_answer(
    answer: TargetAnswer,
    headers: Headers,
    chunks: AsyncIterator[bytes],
    send: Send,
    pacer: LinkPacer,
) -> None:
    """Pass a target's answer on to the caller.

    Raises the error with which the exchange fails, if the rest of the body
    can't be read.

    :param answer: the start of the answer.
    :param headers: the headers that the caller gets.
    :param chunks: the whole body.
    :param send: sends to the caller.
    :param pacer: paces large answers on a slow link.
    """
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
        },
    )
    async for chunk in chunks:
        async for piece in pacer.pieces(chunk):
            await _send_body(send, piece, more=True)
    await _send_body(send, b'', more=False)


async def buffered_body(answer: TargetAnswer) -> AsyncIterator[bytes]:
    """Yield the body of an answer that is complete.

    :param answer: the answer.
    """
    yield answer.body


async def send_refusal(
    refusal: Refusal,
    send: Send,
    *,
    close_connection: bool = False,
) -> None:
    """Answer a request with a refusal.

    :param refusal: the refusal.
    :param send: sends to the caller.
    :param close_connection: whether to close the caller's connection.
    """
    body = encode_problem(refusal)
    headers = [
        (b'content-type', PROBLEM_TYPE.encode()),
        (b'content-length', b'%d' % len(body)),
    ]
    if refusal.retry_after_ms:
        seconds = refusal.retry_after_ms / 1000
        headers.append((b'retry-after', f'{seconds:.2f}'.encode()))
    if refusal.status == _UNAUTHORIZED_STATUS:
        headers.append(_CHALLENGE)
    if close_connection:
        headers.append((b'connection', b'close'))
    await send(
        {
            'type': 'http.response.start',
            'status': refusal.status,
            'headers': headers,
        },
    )
    await _send_body(send, body, more=False)


async def send_own_refusal(
    refusal: Refusal, req: PipelinedRequest, send: Send
) -> str:
    """Answer a request that is given up, perhaps before its whole body came.

    The connection is closed if the rest of the body is still to come. No
    request behind it has been read then.

    :param refusal: the refusal.
    :param req: the request, with its turn.
    :param send: sends to the caller.
    :returns: how the request ended.
    """
    await req.wait_for_turn()
    await send_refusal(refusal, send, close_connection=not req.body_arrived)
    return f'refused-{refusal.reason}'


def not_run_refusal(
    reason: Reason,
    detail: str,
    retry_after_s: float = 0,
) -> Refusal:
    """Return a refusal of a request that has not run and will not run.

    :param reason: the reason, as a written value.
    :param detail: the reason in one sentence, for a person.
    :param retry_after_s: time after which the caller may retry, in seconds.
    """
    return Refusal(
        ran=Ran.not_run,
        reason=reason,
        detail=detail,
        retry_after_ms=round(retry_after_s * 1000),
    )


async def _send_body(send: Send, body: bytes, *, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})
