"""An application and a caller for tests of pipelined requests."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator

from cuminhoist.httpserver import HttpServer

from .gateway.builders import listening
from .waiting import eventually


def get(path: str, *lines: str) -> bytes:
    """Return the bytes of a GET request.

    :param path: its path.
    :param lines: further header lines.
    """
    head = '\r\n'.join((f'GET {path} HTTP/1.1', 'host: x', *lines))
    return f'{head}\r\n\r\n'.encode()


def post(path: str, body: bytes, *lines: str) -> bytes:
    """Return the bytes of a POST request with a length.

    :param path: its path.
    :param body: its body.
    :param lines: further header lines.
    """
    head = '\r\n'.join(
        (
            f'POST {path} HTTP/1.1',
            'host: x',
            f'content-length: {len(body)}',
            *lines,
        )
    )
    return f'{head}\r\n\r\n'.encode() + body


class OverlapApp:
    """Answers each request with its path and body when its gate is open.

    Requests whose path begins with ``/once`` run alone. Paths that end in
    ``!`` are answered with ``connection: close``, those that end in ``~`` are
    aborted within the body, those that end in ``-`` before the head.
    """

    def __init__(self) -> None:
        self.gates: dict[str, asyncio.Event] = collections.defaultdict(
            asyncio.Event
        )
        #: Paths in the order in which the requests started.
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.waits: dict[str, float] = {}

    def open(self, *paths: str) -> None:
        """Let requests be answered."""
        for path in paths:
            self.gates[path].set()

    async def __call__(self, scope, receive, send) -> None:
        """Serve a request until it is withdrawn."""
        serving = asyncio.create_task(self._serve(scope, receive, send))
        withdrawn = scope['state']['caller_disconnected']
        await asyncio.wait(
            (serving, withdrawn), return_when=asyncio.FIRST_COMPLETED
        )
        if not serving.done():
            serving.cancel()
            self.cancelled.append(scope['path'])
        with contextlib.suppress(asyncio.CancelledError):
            await serving

    async def _serve(self, scope, receive, send) -> None:
        path, pipelined = scope['path'], scope['state']['pipelined_request']
        overlaps = not path.startswith('/once')
        if not await pipelined.wait_to_start(overlaps=overlaps):
            return
        self.started.append(path)
        content = path.encode()
        more = scope['method'] == 'POST'
        while more:
            event = await receive()
            if event['type'] != 'http.request':
                return
            content += event['body']
            more = event['more_body']
        await self.gates[path].wait()
        if path.endswith('-'):
            scope['state']['abort']()
            return
        headers = [(b'content-length', b'%d' % len(content))]
        if path.endswith('!'):
            headers.append((b'connection', b'close'))
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        half = len(content) // 2
        await send(
            {
                'type': 'http.response.body',
                'body': content[:half],
                'more_body': True,
            }
        )
        if path.endswith('~'):
            await asyncio.sleep(0)
            scope['state']['abort']()
            return
        await send({'type': 'http.response.body', 'body': content[half:]})
        self.waits[path] = pipelined.turn_wait_s


class PipeliningCaller:
    """A caller that sends requests without waiting for answers."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *requests: bytes) -> None:
        """Write requests in one piece."""
        self.writer.write(b''.join(requests))

    async def read_head(self) -> bytes:
        """Return the head of the next answer."""
        async with asyncio.timeout(5):
            return await self.reader.readuntil(b'\r\n\r\n')

    async def read_answer(self) -> bytes:
        """Return the body of the next answer."""
        head = await self.read_head()
        length = int(head.lower().partition(b'content-length: ')[2].split()[0])
        async with asyncio.timeout(5):
            return await self.reader.readexactly(length)

    async def read_rest(self) -> bytes:
        """Return all bytes until the connection is closed."""
        async with asyncio.timeout(5):
            return await self.reader.read()


@contextlib.asynccontextmanager
async def calling(
    app,
) -> AsyncIterator[tuple[PipeliningCaller, HttpServer]]:
    """Run a listener for an application and connect a caller to it."""
    async with listening(app) as server:
        port = server.servers[0].sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            yield PipeliningCaller(reader, writer), server
        finally:
            writer.close()


async def started(app: OverlapApp, *paths: str) -> None:
    """Return once exactly these requests have started, in any order.

    Bytes that have arrived are handled within some turns of the loop, so that
    a request that must not start would have started by then.
    """
    await eventually(lambda: len(app.started) >= len(paths))
    await asyncio.sleep(0.05)
    assert sorted(app.started) == sorted(paths)
