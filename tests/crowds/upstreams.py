"""Stand-ins for targets and for the server of their list."""

import asyncio
import time

import msgspec

from cuminhoist.httpserver import HttpServer

TARGET_PORT = 8080
LIST_PORT = 8541
#: Requests for paths with this part are not answered.
SILENT = '/silent/'
#: Requests for paths with this end get a body of ``LARGE_BYTES``.
LARGE = '/large'
LARGE_BYTES = 1024 * 1024


class _Server:
    """Serves one application in the process of the test."""

    def __init__(self, host: str, port: int) -> None:
        self.address = f'{host}:{port}'
        self._server = HttpServer.from_app(
            self._serve, host, port, overlaps_requests=True
        )
        self._task = None

    async def start(self) -> None:
        """Start to listen."""
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop listening, without waiting for open requests."""
        for listener in self._server.servers:
            listener.close()
        for conn in tuple(self._server.server_state.connections):
            conn.abort()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _serve(self, scope, receive, send) -> None:
        raise NotImplementedError


class Upstream(_Server):
    """One target, which runs requests as fast as they come.

    :param host: IP address that it listens on.
    :param service: service that it belongs to.
    :param domain: its failure domain.
    :param slots: slots that the list names for it.
    """

    def __init__(
        self, host: str, service: str, domain: str, slots: int
    ) -> None:
        super().__init__(host, TARGET_PORT)
        self.name = f'i-{service}'
        self.entry = {
            'backend': service,
            'address': self.address,
            'zone': domain,
            'version': 'v1',
            'slots': slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'born': round(time.time() * 1000),
        }

    async def _serve(self, scope, receive, send) -> None:
        headers = dict(scope['headers'])
        more_body = True
        while more_body:
            more_body = (await receive()).get('more_body', False)
        if scope['path'].startswith(SILENT):
            await scope['state']['caller_disconnected']
            return
        body = b'x' * (LARGE_BYTES if scope['path'].endswith(LARGE) else 5)
        answer_headers = [
            (b'x-request-id', headers.get(b'x-request-id', b'')),
            (b'x-server-stamp', self.name.encode()),
            (b'x-instance-id', self.name.encode()),
        ]
        await _answer(send, body, answer_headers)


class ListServer(_Server):
    """Serves the list of targets in the platform's format.

    :param host: IP address that it listens on.
    :param upstreams: the targets.
    """

    def __init__(self, host: str, upstreams: list[Upstream]) -> None:
        super().__init__(host, LIST_PORT)
        self._upstreams = upstreams

    async def _serve(self, _scope, _receive, send) -> None:
        entries = {target.name: target.entry for target in self._upstreams}
        content = {'instances': entries, 'next_page_token': None}
        await _answer(send, msgspec.json.encode(content), [])


async def _answer(send, body, headers):
    length = (b'content-length', b'%d' % len(body))
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [*headers, length],
        }
    )
    await send({'type': 'http.response.body', 'body': body})
