"""HTTP servers on loopback and targets that point at them, for tests."""

import asyncio

from cuminhoist.httpserver import HttpServer
from cuminhoist.settings import Target

from .builders import free_ports


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read the head of an HTTP message from a stream."""
    return await reader.readuntil(b'\r\n\r\n')


class RawServer:
    """A TCP server whose script writes every byte of its answers.

    :param script: called for each connection with this server, the reader
        and the writer.
    """

    def __init__(self, script) -> None:
        self._script = script
        self._server = None
        self.connections = 0
        self.heads: list[bytes] = []
        self.closed = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> 'RawServer':
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._handle_connection,
            '127.0.0.1',
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_exc) -> None:
        """Stop the scripts and the listener."""
        for task in self.tasks:
            task.cancel()
        self._server.close()

    async def head(self, reader: asyncio.StreamReader) -> bytes:
        """Read the head of a request and record it in `heads`."""
        head = await read_head(reader)
        self.heads.append(head)
        return head

    async def _handle_connection(self, reader, writer) -> None:
        self.connections += 1
        self.tasks.add(asyncio.current_task())
        try:
            await self._script(self, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.closed.set()
        except asyncio.CancelledError:
            return
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()


def raw_target(port: int, connections: int = 10, slots: int = 3) -> Target:
    """Return a target with the address of a local port."""
    return Target(
        name='raw',
        service='catalogue',
        domain='de-cymru-a',
        host='127.0.0.1',
        port=port,
        slots=slots,
        connections=connections,
    )


class RunningServer:
    """An HTTP server for an ASGI application on a free port."""

    def __init__(self, app) -> None:
        self.port = free_ports(1)[0]
        self.server = HttpServer.from_app(app, '127.0.0.1', self.port)

    async def __aenter__(self) -> 'RunningServer':
        """Start the server."""
        self.task = asyncio.create_task(self.server.serve())
        while not self.server.started:
            await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_exc) -> None:
        """Stop the server."""
        await self.stop()

    async def stop(self) -> None:
        """Stop the server as the daemon does."""
        self.server.begin_stop()
        await self.task

    async def connect(self):
        """Return reader and writer of a new connection."""
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def send(self, request: bytes) -> bytes:
        """Send bytes on a new connection and read until it is closed."""
        reader, writer = await self.connect()
        writer.write(request)
        answer = await reader.read()
        writer.close()
        return answer
