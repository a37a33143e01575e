"""Limits, reuse and expiry of the connections to a target.

The tests guard against a slot without a free connection, connections that
are kept or counted too long, and requests that can't be sent safely.
"""

import asyncio
import socket

import httpx
import pytest

from cuminhoist import connection_pool
from cuminhoist.clock import ManualClock
from cuminhoist.connection_pool import Address, ConnectionLimits, PoolTransport

from .builders_carry import RawServer

ANSWER_OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
ANSWER_AND_CLOSE = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok'
)


def answer_each_request(answer):
    async def script(server, reader, writer):
        while True:
            await server.head(reader)
            writer.write(answer)

    return script


def request(port, host='127.0.0.1', **extensions):
    return httpx.Request(
        'GET',
        f'http://{host}:{port}/',
        extensions=extensions,
    )


@pytest.mark.parametrize('answer', [ANSWER_OK, ANSWER_AND_CLOSE])
async def test_connection_is_free_when_the_end_is_reported(answer):
    """Guards against `no-slot` for a request sent as soon as a slot is free.

    The next request starts in the report of the end, before control returns
    to the event loop.
    """
    pool = PoolTransport(ConnectionLimits(1, 1))
    tasks = []
    open_counts = []

    def send_next(_exchange=None):
        open_counts.append(
            pool.open_connections(Address('127.0.0.1', server.port))
        )
        if len(tasks) < 5:
            req = request(server.port, on_end=send_next)
            sending = pool.handle_async_request(req)
            tasks.append(asyncio.create_task(sending))

    async with RawServer(answer_each_request(answer)) as server:
        send_next()
        while len(open_counts) < 6:
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        await pool.aclose()
    assert max(open_counts) == 1
    assert server.connections == (1 if answer == ANSWER_OK else 5)


async def test_idle_connections_expire(monkeypatch):
    """Guards against connections that a former owner of a target keeps open."""
    monkeypatch.setattr(connection_pool, 'IDLE_TIMEOUT_S', 0.1)
    clock = ManualClock()
    pool = PoolTransport(ConnectionLimits(2, 2), clock)
    async with RawServer(answer_each_request(ANSWER_OK)) as server:
        address = Address('127.0.0.1', server.port)
        for left_open in (1, 1):
            response = await pool.handle_async_request(request(server.port))
            assert await response.aread() == b'ok'
            assert pool.open_connections(address) == left_open
            clock.advance(1)
        await asyncio.sleep(0.2)
        assert pool.open_connections(address) == 0
        await pool.handle_async_request(request(server.port))
        pool.close_idle_connections(address)
        await asyncio.sleep(0)
        assert pool.open_connections(address) == 0
        await pool.aclose()
    assert server.connections == 3


async def test_connect_timeout_is_not_sent(monkeypatch):
    """Guards against outcome `unknown` where no connection was established."""
    monkeypatch.setattr(connection_pool, 'CONNECT_TIMEOUT_S', 0.1)
    pool = PoolTransport(ConnectionLimits(2, 2))
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        port = listener.getsockname()[1]
        backlog = [socket.socket() for _ in range(4)]
        for sock in backlog:
            sock.setblocking(False)
            sock.connect_ex(('127.0.0.1', port))
        with pytest.raises(httpx.ConnectTimeout):
            await pool.handle_async_request(request(port))
        for sock in backlog:
            sock.close()
    assert pool.open_connections(Address('127.0.0.1', port)) == 0


async def test_names_are_refused():
    """Guards against DNS look-ups in the request path."""
    with pytest.raises(httpx.ConnectError):
        await PoolTransport(ConnectionLimits(1, 1)).handle_async_request(
            request(80, host='localhost')
        )


async def test_split_requests_are_refused():
    """Guards against request smuggling through line breaks in a path."""
    pool = PoolTransport(ConnectionLimits(1, 1))
    async with RawServer(answer_each_request(ANSWER_OK)) as server:
        req = request(server.port, target=b'/a HTTP/1.1\r\nx: y')
        with pytest.raises(httpx.LocalProtocolError):
            await pool.handle_async_request(req)
        response = await pool.handle_async_request(request(server.port))
        assert await response.aread() == b'ok'
        await pool.aclose()
    assert server.connections == 1
    assert len(server.heads) == 1


async def test_cancelled_connect_is_not_counted():
    """Guards against a cancelled connect that is counted as open for ever."""
    pool = PoolTransport(ConnectionLimits(1, 1))
    async with RawServer(answer_each_request(ANSWER_OK)) as server:
        address = Address('127.0.0.1', server.port)
        for loop_iterations in range(6):
            task = asyncio.create_task(
                pool.handle_async_request(request(server.port))
            )
            for _ in range(loop_iterations):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            pool.close_idle_connections(address)
            await asyncio.sleep(0.01)
            assert pool.open_connections(address) == 0
