"""The limits of the configuration in force, as callers see them."""

import asyncio

import pytest

from .builders import HOST, ScriptedTarget, answer, gateway


def _head(size_bytes: int, path: str = '/a/x') -> bytes:
    start = f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Fill: '
    fill = 'f' * (size_bytes - len(start) - len('\r\n\r\n'))
    return f'{start}{fill}\r\n\r\n'.encode()


async def _status(reader: asyncio.StreamReader) -> str:
    async with asyncio.timeout(5):
        line = await reader.readline()
        while await reader.readline() not in {b'\r\n', b''}:
            pass
    return line.decode().split(' ')[1]


@pytest.mark.parametrize('max_head_bytes', [1000, 60_000, 300_000])
async def test_head_limit_is_exact(max_head_bytes):
    """Guards against heads refused within, or passed on above, the limit."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        harness.set_limits(max_head_bytes=max_head_bytes)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        writer.write(_head(max_head_bytes))
        assert await _status(reader) == '200'
        await reader.readexactly(len(b'whole'))
        writer.write(_head(max_head_bytes + 1))
        assert await _status(reader) == '431'
        assert b'"ran":"not-run"' in await reader.read()
        writer.close()
    assert len(target.heads) == 1


async def test_head_above_the_limit_is_refused_before_its_end():
    """Guards against a caller that sends a head without an end."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        harness.set_limits(max_head_bytes=1000)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        writer.write(_head(1100)[:1050])
        assert await _status(reader) == '431'
        writer.close()


async def test_body_is_no_part_of_the_head():
    """Guards against a 431 for a small head that arrives with its body."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        harness.set_limits(max_head_bytes=1000)
        received = await harness.request('POST', body=b'x' * 50_000)
    assert received.startswith(b'HTTP/1.1 200')
    assert target.bodies == [b'x' * 50_000]


async def test_changed_head_limit_holds_on_open_connections():
    """Guards against connections that keep the limits of their start."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        harness.set_limits(max_head_bytes=100_000)
        writer.write(_head(90_000))
        assert await _status(reader) == '200'
        await reader.readexactly(len(b'whole'))
        harness.set_limits(max_head_bytes=1000)
        writer.write(_head(2000))
        assert await _status(reader) == '431'
        writer.close()
