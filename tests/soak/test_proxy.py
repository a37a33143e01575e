"""Tests of the proxy that injects faults into links.

A proxy that loses data or connections in another way than its mode says
makes soaks test other faults than the plan lists.
"""

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


async def _exchange_in_mode(mode):
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
    """Guards against a proxy that disturbs links without a fault."""
    assert asyncio.run(_exchange_in_mode(Mode.pass_on)) == b'hello'


def test_delayed_data_arrives():
    """Guards against a delay that loses data."""
    assert asyncio.run(_exchange_in_mode(Mode.delay)) == b'hello'


@pytest.mark.parametrize('mode', [Mode.silent, Mode.one_way])
def test_silent_connections_stay_open_without_data(mode):
    """Guards against silent modes that close the connection."""
    with pytest.raises(TimeoutError):
        asyncio.run(_exchange_in_mode(mode))


def test_refused_connections_are_reset():
    """Guards against a refusal that closes the connection without a reset."""
    with pytest.raises(ConnectionError):
        asyncio.run(_exchange_in_mode(Mode.refuse))


def test_new_connections_work_while_old_ones_are_silent():
    """Guards against a silent mode that also drops data of new connections."""

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
