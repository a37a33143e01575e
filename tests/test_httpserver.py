"""The HTTP listener during drain and stop, and on broken input.

The tests guard against requests cut by a stop, a stop that never ends,
answers lost to a reset, and a listener that fails on malformed bytes.
"""

import asyncio
import random

import pytest
from loguru import logger

from .builders_carry import RunningServer, read_head

REQUEST = b'GET /%d HTTP/1.1\r\nhost: x\r\n\r\n'


class GatedApp:
    """Answers when its gate is open.

    :param start_early: whether the head and half of the body are sent
        before the gate opens.
    """

    def __init__(self, start_early: bool) -> None:
        self.gate = asyncio.Event()
        self.running = 0
        self.paths = []
        self._start_early = start_early

    async def __call__(self, scope, receive, send):
        """Serve a request."""
        self.running += 1
        self.paths.append(scope['path'])
        start = {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'4')],
        }
        if self._start_early:
            await send(start)
            await send(
                {'type': 'http.response.body', 'body': b'ab', 'more_body': True}
            )
        await self.gate.wait()
        if not self._start_early:
            await send(start)
            await send(
                {'type': 'http.response.body', 'body': b'ab', 'more_body': True}
            )
        await send({'type': 'http.response.body', 'body': b'cd'})


@pytest.fixture
def logged():
    """Return a list that all log records are appended to."""
    records = []
    sink = logger.add(lambda message: records.append(message.record))
    yield records
    logger.remove(sink)


async def read_answer(reader):
    head = await read_head(reader)
    assert await reader.readexactly(4) == b'abcd'
    return head


@pytest.mark.parametrize('start_early', [False, True])
async def test_stop_cuts_no_request(start_early):
    """Guards against a stop that cuts running or newly arrived requests.

    Some requests arrive on idle connections after the stop has begun.
    """
    app = GatedApp(start_early)
    async with RunningServer(app) as server:
        busy_conns = [await server.connect() for _ in range(20)]
        idle_conns = [await server.connect() for _ in range(5)]
        for number, (_, writer) in enumerate(busy_conns):
            writer.write(REQUEST % number)
        while app.running < 20:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(server.stop())
        while not server.server.should_exit:
            await asyncio.sleep(0)
        # These arrive on idle connections after the stop has begun.
        for number, (_, writer) in enumerate(idle_conns):
            writer.write(REQUEST % (100 + number))
        while app.running < 25:
            await asyncio.sleep(0.01)
        app.gate.set()
        heads = [
            await read_answer(reader)
            for reader, _ in [*busy_conns, *idle_conns]
        ]
        await stopping
    assert len(app.paths) == 25
    closed = [b'connection: close' in head for head in heads]
    assert all(closed[20:])
    assert start_early or all(closed)


async def test_drain_keeps_serving_and_announces_the_close():
    """Guards against refusals while cached look-ups still name an instance."""
    app = GatedApp(start_early=False)
    app.gate.set()
    async with RunningServer(app) as server:
        reader, writer = await server.connect()
        writer.write(REQUEST % 1)
        assert b'connection: close' not in await read_answer(reader)
        server.server.start_drain()
        writer.write(REQUEST % 2)
        assert b'connection: close' in await read_answer(reader)
        assert await reader.read() == b''
        reader, writer = await server.connect()
        writer.write(REQUEST % 3)
        assert b'connection: close' in await read_answer(reader)


async def test_stop_is_bounded(monkeypatch):
    """Guards against a stop that never ends because a request hangs."""
    monkeypatch.setattr('cuminhoist.httpserver.IDLE_GRACE_S', 0.1)
    app = GatedApp(start_early=False)
    async with RunningServer(app) as server:
        server.server.drain_timeout_s = 0.1
        reader, writer = await server.connect()
        writer.write(REQUEST % 1)
        while not app.running:
            await asyncio.sleep(0.01)
        await server.stop()
        assert await reader.read() == b''
    app.gate.set()


async def test_early_answer_survives_the_close():
    """Guards against a reset that discards an answer sent during the upload."""

    async def app(scope, receive, send):
        await send(
            {
                'type': 'http.response.start',
                'status': 413,
                'headers': [(b'content-length', b'4')],
            }
        )
        await send({'type': 'http.response.body', 'body': b'abcd'})

    async with RunningServer(app) as server:
        reader, writer = await server.connect()
        size = 32 * 2**20
        writer.write(
            b'PUT / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
            b'content-length: %d\r\n\r\n' % size
        )
        for _ in range(32):
            writer.write(b'x' * 2**20)
            await writer.drain()
        assert b'413' in await read_answer(reader)


async def test_upgrade_is_ignored():
    """Guards against a connection that hangs after an upgrade request."""
    app = GatedApp(start_early=False)
    app.gate.set()
    async with RunningServer(app) as server:
        answer = await server.send(
            b'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n'
            b'upgrade: h2c\r\n\r\n'
        )
    assert answer.startswith(b'HTTP/1.1 200')
    assert answer.endswith(b'abcd')


async def test_malformed_request_is_logged_with_its_reason(logged):
    """Guards against a 400 whose cause no log line or metric tells."""
    refused = []
    async with RunningServer(GatedApp(start_early=False)) as server:
        server.server.report_malformed_requests(lambda: refused.append(1))
        answer = await server.send(b'GET /odd HTTP/1.1\r\nh\x01: x\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 400')
    assert refused == [1]
    [line] = [
        line for line in logged if line['message'].startswith('malformed')
    ]
    assert line['extra']['target'] == '/odd'
    assert 'Invalid header token' in line['extra']['reason']


async def test_error_of_a_parser_callback_is_logged(logged):
    """Guards against a 400 that only says that a callback failed."""
    async with RunningServer(GatedApp(start_early=False)) as server:
        await server.send(b'GET /\xe9 HTTP/1.1\r\nhost: x\r\n\r\n')
    [line] = [
        line for line in logged if line['message'].startswith('malformed')
    ]
    assert 'Invalid char in url path' in line['extra']['reason']


async def test_random_bytes_do_no_harm():
    """Guards against a listener that crashes or hangs on malformed bytes."""
    rng = random.Random(7)
    app = GatedApp(start_early=False)
    app.gate.set()
    valid = REQUEST % 1 + b'POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc'
    async with RunningServer(app) as server:
        for _ in range(300):
            damaged = bytearray(valid)
            for _ in range(rng.randint(1, 8)):
                damaged[rng.randrange(len(damaged))] = rng.randrange(256)
            reader, writer = await server.connect()
            writer.write(bytes(damaged))
            writer.write_eof()
            await reader.read()
            writer.close()
        answer = await server.send(
            b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
        )
        assert answer.endswith(b'abcd')
