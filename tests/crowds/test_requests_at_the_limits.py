"""Requests at the limits of the configuration are served while it is calm.

They guard against bounds for other clients that meet proper ones.
"""

import asyncio
import itertools

import pytest

from .builders import HOST, MAX_BODY_BYTES, MAX_HEAD_BYTES, deployment

_AHEAD = 16
_FIELDS = 100


def _request(path='/browse/1', fields=(), body=b'', framing=None):
    lines = [
        f'POST {path} HTTP/1.1',
        f'host: {HOST}',
        'x-request-id: r1',
        'x-deadline-ms: 2000',
        framing or f'content-length: {len(body)}',
        *fields,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def _largest_head():
    spare = MAX_HEAD_BYTES - len(_request(fields=['a: ']))
    return _request(fields=['a: ' + 'x' * spare])


def _many_fields():
    own = len(_request().splitlines()) - 2
    names = (f'x-field-{number}: {number}' for number in itertools.count())
    return _request(fields=itertools.islice(names, _FIELDS - own))


def _chunked(sizes):
    chunks = b''.join(b'%x\r\n%b\r\n' % (size, bytes(size)) for size in sizes)
    return _request(
        body=chunks + b'0\r\nx-trailer: 1\r\n\r\n',
        framing='transfer-encoding: chunked',
    )


REQUESTS = {
    'largest head': _largest_head(),
    'a hundred fields': _many_fields(),
    'short fields up to the largest head': _request(
        fields=['a: b'] * ((MAX_HEAD_BYTES - 300) // len(b'a: b\r\n'))
    ),
    'largest body': _request(body=bytes(MAX_BODY_BYTES)),
    'largest body in chunks': _chunked([10_000] * 100),
    'body in small chunks': _chunked([1] * 2000),
    'an empty line before': b'\r\n' + _request(),
    'sixteen ahead': _request() * _AHEAD,
    'sixteen largest heads ahead': _largest_head() * _AHEAD,
    'sixteen bodies ahead': _request(body=bytes(20_000)) * _AHEAD,
}


async def _answers(address, content, count):
    """Return the statuses of the answers to requests on one connection."""
    reader, writer = await asyncio.open_connection(*address)
    sending = asyncio.create_task(_send(writer, content))
    statuses = []
    try:
        for _ in range(count):
            async with asyncio.timeout(10):
                head = await reader.readuntil(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(b': ', 1)
                    for line in head.splitlines()[1:-1]
                )
                await reader.readexactly(int(fields[b'content-length']))
            statuses.append(int(head.split()[1]))
    finally:
        sending.cancel()
        writer.close()
    return statuses


async def _send(writer, content):
    writer.write(content)
    await writer.drain()


@pytest.mark.parametrize('port_name', ['callers', 'relay'])
async def test_requests_at_the_limits_are_served(tmp_path, port_name):
    """Guards against refusals of clients that stay inside all limits."""
    expected = {}
    statuses = {}
    async with deployment(tmp_path) as world:
        address = world.address(port_name)
        for name, content in REQUESTS.items():
            count = _AHEAD if name.startswith('sixteen') else 1
            expected[name] = [200] * count
            statuses[name] = await _answers(address, content, count)
    assert statuses == expected
