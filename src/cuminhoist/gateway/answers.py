"""Answers to callers: those of targets, and refusals."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec

from ..exchange import Exchange, Headers
from ..problems import PROBLEM_TYPE, Refusal, encode_problem
from ..types import Ran, Reason
from .pacing import LinkPacer

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class TargetAnswer(msgspec.Struct, frozen=True):
    """The first part of a target's answer.

    :param body: body bytes that have arrived.
    :param whole: whether that is the whole body.
    """

    status: int
    headers: Headers
    body: bytes
    whole: bool
    exchange: Exchange


async def read_first_part(
    exchange: Exchange,
    held_bytes: int,
) -> TargetAnswer:
    """Return the first part of an answer, or raise what the exchange met.

    :param exchange: the request.
    :param held_bytes: body bytes to read before the answer is passed on.
    """
    await exchange.wait_for_head()
    parts: list[bytes] = []
    size = 0
    whole = False
    while size < held_bytes:
        chunk = await exchange.read()
        if not chunk:
            whole = True
            break
        parts.append(chunk)
        size += len(chunk)
    return TargetAnswer(
        exchange.status,
        exchange.headers,
        b''.join(parts),
        whole,
        exchange,
    )


async def send_answer(
    answer: TargetAnswer,
    headers: Headers,
    send: Send,
    link: LinkPacer,
) -> None:
    """Pass an answer on; raise what the exchange meets on the way.

    :param answer: its first part.
    :param headers: what the caller gets of its headers.
    :param send: sends to the caller.
    :param link: lets large answers onto the link.
    """
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
        },
    )
    chunk = answer.body
    ended = answer.whole
    while True:
        async for piece in link.pieces(chunk):
            await _send_body(send, piece, more=True)
        if ended:
            await _send_body(send, b'', more=False)
            return
        chunk = await answer.exchange.read()
        ended = not chunk


async def send_refusal(
    refusal: Refusal,
    send: Send,
    *,
    closes: bool = False,
) -> None:
    """Answer with a refusal.

    :param refusal: the refusal.
    :param send: sends to the caller.
    :param closes: whether the connection is to be closed.
    """
    body = encode_problem(refusal)
    headers = [
        (b'content-type', PROBLEM_TYPE.encode()),
        (b'content-length', b'%d' % len(body)),
    ]
    if refusal.retry_after_ms:
        seconds = refusal.retry_after_ms / 1000
        headers.append((b'retry-after', f'{seconds:.2f}'.encode()))
    if closes:
        headers.append((b'connection', b'close'))
    await send(
        {
            'type': 'http.response.start',
            'status': refusal.status,
            'headers': headers,
        },
    )
    await _send_body(send, body, more=False)


def not_run(
    reason: Reason,
    detail: str,
    retry_after_s: float = 0,
) -> Refusal:
    """Return a refusal of a request that has not run and will not run.

    :param reason: why.
    :param detail: one sentence for a person.
    :param retry_after_s: when to come back, in seconds.
    """
    return Refusal(
        ran=Ran.not_run,
        reason=reason,
        detail=detail,
        retry_after_ms=round(retry_after_s * 1000),
    )


async def _send_body(send: Send, body: bytes, *, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})
