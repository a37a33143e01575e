"""Reads small answers whose senders may send bytes without end."""

import asyncio
from collections.abc import Mapping

import httpx
import msgspec


class BoundedAnswer(msgspec.Struct, frozen=True):
    """An answer with its whole body.

    :param status_code: its status.
    :param headers: its headers.
    :param content: its body.
    """

    status_code: int
    headers: httpx.Headers
    content: bytes


async def get_bounded(
    client: httpx.AsyncClient,
    url: str,
    timeout_s: float,
    limit_bytes: int,
    query: Mapping[str, str] | None = None,
) -> BoundedAnswer:
    """Return the answer to a GET request.

    :param client: sends the request.
    :param url: its address.
    :param timeout_s: longest time until the end of the body, in seconds; the
        time-outs of a client count anew with each of its bytes.
    :param limit_bytes: largest body.
    :param query: query parameters.
    :raises httpx.HTTPError: if there is no answer, it is too large, or it is
        not complete in time.
    """
    try:
        async with (
            asyncio.timeout(timeout_s),
            client.stream('GET', url, params=query) as answer,
        ):
            content = await _read_body(answer, limit_bytes)
            return BoundedAnswer(answer.status_code, answer.headers, content)
    except TimeoutError as exc:
        raise httpx.ReadTimeout('the body was not complete in time') from exc


async def _read_body(answer: httpx.Response, limit_bytes: int) -> bytes:
    content = bytearray()
    async for piece in answer.aiter_bytes():
        content += piece
        if len(content) > limit_bytes:
            raise httpx.ReadError('the body is too large')
    return bytes(content)
