"""Tests of health checks and lists whose senders never end their answers.

They guard against bytes that are kept in memory for as long as they come, and
against a reader that waits for ever.
"""

import asyncio
import contextlib
import itertools

import httpx
import pytest
from returns.result import Failure

from cuminhoist.bounded_read import get_bounded
from cuminhoist.fleet.instance_config import Address
from cuminhoist.instance_list import PlatformPoller
from cuminhoist.platform import target_list
from cuminhoist.platform.target_list import TargetListClient
from cuminhoist.probes import MAX_REPORT_BYTES, HttpxProbeClient

from .builders_carry import RawServer, raw_target

HEADS = {
    'length': b'content-length: 999999999999',
    'until the connection closes': b'connection: close',
    'chunks': b'transfer-encoding: chunked',
}
CHUNK = b'4000\r\n' + b'a' * 0x4000 + b'\r\n'


class _EndlessAnswer:
    """Answers each request with bytes without end.

    :param field: header with the framing of the answer.
    :param status: its status.
    """

    def __init__(self, field, status=b'200'):
        self.sent_bytes = 0
        self._head = b'HTTP/1.1 %b OK\r\n%b\r\n\r\n' % (status, field)

    async def __call__(self, server, reader, writer):
        with contextlib.suppress(ConnectionError):
            await server.head(reader)
            writer.write(self._head)
            for _ in itertools.count():
                writer.write(CHUNK)
                await writer.drain()
                self.sent_bytes += len(CHUNK)


@pytest.mark.parametrize('framing', HEADS)
async def test_health_check_without_end(framing):
    """Guards against a target that fills the memory by its health checks.

    What the sockets hold comes on top of the limit.
    """
    endless = _EndlessAnswer(HEADS[framing])
    async with RawServer(endless) as server:
        client = HttpxProbeClient()
        result = await client.probe(raw_target(server.port), 30)
        await client.close()
    assert not result.healthy
    assert endless.sent_bytes < 16 * 2**20 + MAX_REPORT_BYTES


@pytest.mark.parametrize('framing', HEADS)
async def test_target_list_without_end(framing):
    """Guards against a list that fills the memory of a control instance."""
    endless = _EndlessAnswer(HEADS[framing])
    async with RawServer(endless) as server:
        client = TargetListClient(Address('127.0.0.1', server.port))
        read = await client.read()
        await client.close()
    assert isinstance(read, Failure)
    assert 'ReadError' in read.failure()


async def test_target_list_that_drips(monkeypatch):
    """Guards against a list that is never read again.

    Its bytes come one by one, so that no time-out of a read runs out.
    """
    monkeypatch.setattr(target_list, 'PAGE_LIMIT_S', 0.2)

    async def drip(server, reader, writer):
        await server.head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\n')
        for _ in itertools.count():
            writer.write(b' ')
            await asyncio.sleep(0.01)

    async with RawServer(drip) as server:
        client = TargetListClient(Address('127.0.0.1', server.port))
        read = await client.read()
        await client.close()
    assert isinstance(read, Failure)
    assert 'ReadTimeout' in read.failure()


async def test_platform_list_without_end():
    """Guards against a list that fills the memory of the product's daemon."""
    endless = _EndlessAnswer(HEADS['chunks'])
    async with RawServer(endless) as server, httpx.AsyncClient() as client:
        poller = PlatformPoller(
            f'http://127.0.0.1:{server.port}/', lambda _list: None
        )
        assert isinstance(await poller._poll(client), Failure)


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_status_outside_the_protocol_is_no_good_sign(status):
    """Guards against such a status that counts as success (MIXED)."""

    async def answer(server, reader, writer):
        await server.head(reader)
        writer.write(b'HTTP/1.1 %b OK\r\ncontent-length: 0\r\n\r\n' % status)
        await writer.drain()

    async with RawServer(answer) as server:
        probes = HttpxProbeClient()
        result = await probes.probe(raw_target(server.port), 5)
        await probes.close()
        assert not result.healthy
        client = TargetListClient(Address('127.0.0.1', server.port))
        assert isinstance(await client.read(), Failure)
        await client.close()


async def test_small_answer_is_read_whole():
    """Guards against a limit that cuts a sound answer."""
    transport = httpx.MockTransport(
        lambda _req: httpx.Response(203, content=b'a' * 100)
    )
    async with httpx.AsyncClient(transport=transport) as client:
        answer = await get_bounded(client, 'http://127.0.0.1/', 5, 100)
        assert (answer.status_code, answer.content) == (203, b'a' * 100)
        with pytest.raises(httpx.ReadError):
            await get_bounded(client, 'http://127.0.0.1/', 5, 99)
