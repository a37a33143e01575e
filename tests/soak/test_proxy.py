"""Tests of the proxy that harms connections."""

import asyncio
import itertools
import os

import pytest

from soak.proxy import DELAY_S, Mode, Proxy

HOST = f'127.9.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}'
_ports = itertools.count(21000, 2)


async def _echo(reader, writer):
    while content := await reader.read(100):
        writer.write(content)
    writer.close()


async def _start():
    port = next(_ports)
    server = await asyncio.start_server(_echo, HOST, port + 1)
    proxy = Proxy(HOST, port, port + 1)
    await proxy.start()
    return server, proxy, await asyncio.open_connection(HOST, port)


async def _exchange(reader, writer):
    writer.write(b'hello')
    async with asyncio.timeout(DELAY_S * 4):
        return await reader.read(100)


async def _after(mode):
    server, proxy, streams = await _start()
    try:
        assert await _exchange(*streams) == b'hello'
        proxy.switch_mode(mode)
        return await _exchange(*streams)
    finally:
        streams[1].close()
        await proxy.stop()
        server.close()


def test_data_is_passed_on():
    """Guards against a proxy that harms by itself."""
    assert asyncio.run(_after(Mode.pass_on)) == b'hello'


def test_delayed_data_arrives():
    """Guards against a delay that loses data."""
    assert asyncio.run(_after(Mode.delay)) == b'hello'


@pytest.mark.parametrize('mode', [Mode.silent, Mode.one_way])
def test_silent_connections_stay_open_without_data(mode):
    """Guards against a silence that ends the connection."""
    with pytest.raises(TimeoutError):
        asyncio.run(_after(mode))


def test_refused_connections_are_reset():
    """Guards against a refusal that looks like a proper end."""
    with pytest.raises(ConnectionError):
        asyncio.run(_after(Mode.refuse))


def test_new_connections_work_while_old_ones_are_silent():
    """Guards against a silence that a new connection does not end."""

    async def scenario():
        server, proxy, old = await _start()
        proxy.switch_mode(Mode.silent)
        new = await asyncio.open_connection(HOST, proxy.port)
        answer = await _exchange(*new)
        for _, writer in (old, new):
            writer.close()
        await proxy.stop()
        server.close()
        return answer

    assert asyncio.run(scenario()) == b'hello'
