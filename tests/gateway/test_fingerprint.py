"""Tests of the identity of a request's content.

They guard against tries of one request that are taken for different ones, and
against different requests that are taken for one.
"""

import msgspec
import pytest

from cuminhoist.gateway.bodies import RequestBody
from cuminhoist.gateway.fingerprint import fingerprint
from cuminhoist.gateway.wire import IncomingRequest

REQUEST = IncomingRequest(
    request_id='id1',
    method='POST',
    host='shop.example',
    path='/a/x',
    request_target=b'/a/x?q=1',
    key='',
    left_s=1,
    headers=[],
    has_body=True,
    chunked=False,
    body_bytes=4,
    caller='10.0.0.1',
)


async def _fingerprint(content=b'body', pieces=1, **changes):
    size = -(-len(content) // pieces)
    chunks = [content[at : at + size] for at in range(0, len(content), size)]

    async def receive():
        chunk = chunks.pop(0)
        return {
            'type': 'http.request',
            'body': chunk,
            'more_body': bool(chunks),
        }

    body = RequestBody(receive, 10**7)
    await body.fill_buffer()
    return fingerprint(msgspec.structs.replace(REQUEST, **changes), body)


async def test_tries_of_one_request_are_one():
    """Guards against a try that a new identifier or framing hides."""
    first = await _fingerprint()
    assert first == await _fingerprint(request_id='id2', left_s=0.5)
    assert first == await _fingerprint(pieces=3, chunked=True, body_bytes=None)


async def test_long_bodies_in_pieces_are_one():
    """Guards against an identity that depends on how bytes arrive."""
    content = bytes(range(256)) * 3000
    assert await _fingerprint(content) == await _fingerprint(content, pieces=9)


@pytest.mark.parametrize(
    'changes',
    [
        {'caller': '10.0.0.2'},
        {'request_target': b'/a/x?q=2'},
        {'host': 'other.example'},
        {'method': 'PUT'},
        {'content': b'other'},
    ],
)
async def test_other_requests_differ(changes):
    """Guards against a harmless request that is taken for another one."""
    changed = await _fingerprint(**changes)
    original = await _fingerprint()
    assert changed.caller != original.caller
    assert (changed.content == original.content) == ('caller' in changes)
