"""The limits of the configuration in force, as callers see them."""

import asyncio

import pytest

from cuminhoist import caller_connection

from .builders import HOST, ScriptedTarget, answer, gateway


def _head(size_bytes: int, path: str = '/a/x') -> bytes:
    start = f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Fill: '
    fill = 'f' * (size_bytes - len(start) - len('\r\n\r\n'))
    return f'{start}{fill}\r\n\r\n'.encode()


async def _send(harness, data: bytes):
    reader, writer = await asyncio.open_connection('127.0.0.1', harness.port)
    writer.write(data)
    return reader, writer


async def _read_answer(reader: asyncio.StreamReader) -> None:
    assert await _status(reader) == '200'
    assert await reader.readexactly(len(b'whole')) == b'whole'


async def _seconds_until_closed(reader: asyncio.StreamReader) -> float:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.timeout(10):
        assert await reader.read() == b''
    return loop.time() - started_at


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


async def test_idle_connection_is_closed_after_the_whole_limit(monkeypatch):
    """Guards against a request that meets a connection being closed.

    Callers reuse connections that have been idle for most of the limit.
    """
    monkeypatch.setattr(caller_connection, 'IDLE_MARGIN_S', 0.05)
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.set_limits(idle_timeout_s=0.5)
        reader, writer = await _send(harness, _head(200))
        for _ in range(3):
            await _read_answer(reader)
            await asyncio.sleep(0.8 * 0.5)
            writer.write(_head(200))
        await _read_answer(reader)
        assert await _seconds_until_closed(reader) >= 0.5
        writer.close()


async def test_connection_without_a_request_is_closed(monkeypatch):
    """Guards against unused connections that stay open for ever."""
    monkeypatch.setattr(caller_connection, 'IDLE_MARGIN_S', 0.05)
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.set_limits(idle_timeout_s=0.3)
        reader, writer = await _send(harness, b'')
        assert await _seconds_until_closed(reader) >= 0.25
        writer.close()


async def test_longer_idle_limit_holds_on_open_connections(monkeypatch):
    """Guards against closing connections by a limit that was raised."""
    monkeypatch.setattr(caller_connection, 'IDLE_MARGIN_S', 0.05)
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.set_limits(idle_timeout_s=0.3)
        reader, writer = await _send(harness, _head(200))
        await _read_answer(reader)
        harness.set_limits(idle_timeout_s=60)
        await asyncio.sleep(0.6)
        writer.write(_head(200))
        await _read_answer(reader)
        writer.close()


async def test_shorter_idle_limit_counts_from_its_start(monkeypatch):
    """Guards against closing connections that the former limit allows.

    A caller may not know of the new limit yet.
    """
    monkeypatch.setattr(caller_connection, 'IDLE_MARGIN_S', 0.05)
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.set_limits(idle_timeout_s=60)
        reader, writer = await _send(harness, _head(200))
        await _read_answer(reader)
        await asyncio.sleep(0.5)
        harness.set_limits(idle_timeout_s=0.3)
        assert await _seconds_until_closed(reader) >= 0.3
        writer.close()


async def test_running_request_is_not_idle(monkeypatch):
    """Guards against cutting a request that outlasts the idle limit."""
    monkeypatch.setattr(caller_connection, 'IDLE_MARGIN_S', 0)
    async with gateway(ScriptedTarget(lambda _head: None)) as harness:
        harness.set_limits(idle_timeout_s=0.1)
        reader, writer = await _send(harness, _head(200))
        assert await _status(reader) == '504'
        writer.close()


async def test_slow_head_is_refused_truly():
    """Guards against connections held by callers that never end a head.

    A byte now and then must not extend the time.
    """
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        harness.set_limits(head_timeout_s=0.3)
        reader, writer = await _send(harness, _head(200)[:50])
        status = asyncio.create_task(_status(reader))
        while not status.done():
            writer.write(b'f')
            await asyncio.sleep(0.05)
        assert await status == '408'
        assert b'"ran":"not-run"' in await reader.read()
        writer.close()
    assert not target.heads


async def test_changed_head_timeout_holds_on_open_connections():
    """Guards against heads that keep the limit of their start."""
    async with gateway(ScriptedTarget(answer)) as harness:
        reader, writer = await _send(harness, _head(200)[:50])
        await asyncio.sleep(0.05)
        harness.set_limits(head_timeout_s=0.1)
        assert await _status(reader) == '408'
        writer.close()


async def test_time_between_requests_is_no_time_of_a_head():
    """Guards against a 408 on a connection that is only idle.

    Empty lines before a request line belong to no request.
    """
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.set_limits(head_timeout_s=0.2)
        reader, writer = await _send(harness, b'\r\n')
        await asyncio.sleep(0.4)
        for _ in range(2):
            writer.write(_head(200) + b'\r\n')
            await _read_answer(reader)
            await asyncio.sleep(0.4)
        writer.close()


async def test_slow_body_is_no_slow_head():
    """Guards against a 408 while only the body is still arriving."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        harness.set_limits(head_timeout_s=0.1)
        reader, writer = await _send(
            harness,
            f'POST /a/x HTTP/1.1\r\nHost: {HOST}\r\n'
            'Content-Length: 4\r\n\r\nab'.encode(),
        )
        await asyncio.sleep(0.3)
        writer.write(b'cd')
        await _read_answer(reader)
        writer.close()
    assert target.bodies == [b'abcd']
