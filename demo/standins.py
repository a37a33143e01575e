"""Stand-in upstreams: slots, latency, load shedding and a request log."""

import asyncio
import socket
from typing import Any
from urllib.parse import parse_qs

import msgspec

from cuminhoist.httpserver import HttpServer
from cuminhoist.settings import Target
from cuminhoist.types import KEY_HEADER, KIND_HEADER, NOT_RUN_HEADER


class Served(msgspec.Struct, frozen=True):
    """One request that a stand-in ran."""

    target: str
    kind: str
    key: str
    body_bytes: int
    request_id: str


class UpstreamState:
    """What one stand-in target does and has seen.

    :param target: the target it stands in for.
    :param work_s: time that one request takes, in seconds.
    """

    def __init__(self, target: Target, work_s: float) -> None:
        self.target = target
        self.work_s = work_s
        self.in_flight = 0
        self.most_in_flight = 0
        self.served: list[Served] = []


class StandinUpstreams:
    """All stand-in targets of a deployment behind one HTTP server.

    :param targets: the targets to stand in for.
    :param work_s: time that one request takes, in seconds.
    """

    def __init__(
        self,
        targets: tuple[Target, ...],
        work_s: float = 0.005,
    ) -> None:
        self.by_port = {
            target.port: UpstreamState(target, work_s) for target in targets
        }
        self._server = HttpServer.from_app(self._serve)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on the address of every target."""
        sockets = [_listen(state.target) for state in self.by_port.values()]
        self._task = asyncio.create_task(self._server.serve(sockets))
        while not self._server.started:
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop listening."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    def served(self) -> list[Served]:
        """Return all requests that ran, over all targets."""
        return [
            record for state in self.by_port.values() for record in state.served
        ]

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        state = self.by_port[scope['server'][1]]
        if state.in_flight >= state.target.slots:
            await _answer(send, 503, b'busy', [(NOT_RUN_HEADER.encode(), b'1')])
            return
        state.in_flight += 1
        state.most_in_flight = max(state.most_in_flight, state.in_flight)
        try:
            size = await _read_body(receive)
            await asyncio.sleep(state.work_s)
            state.served.append(_record(scope, state, size))
        finally:
            state.in_flight -= 1
        request_id = _request_id(scope).encode()
        await _answer(
            send,
            200,
            b'{"bytes": %d}' % size,
            [(b'x-request-id', request_id)],
        )


def _listen(target: Target) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((target.host, target.port))
    return sock


async def _read_body(receive: Any) -> int:
    size = 0
    while True:
        event = await receive()
        size += len(event.get('body', b''))
        if not event.get('more_body', False):
            return size


def _record(scope: Any, state: UpstreamState, size: int) -> Served:
    headers = {name: text.decode() for name, text in scope['headers']}
    return Served(
        state.target.name,
        headers.get(KIND_HEADER.encode(), ''),
        headers.get(KEY_HEADER.encode(), ''),
        size,
        _request_id(scope),
    )


def _request_id(scope: Any) -> str:
    query = parse_qs(scope['query_string'].decode())
    return str(query.get('id', [''])[0])


async def _answer(
    send: Any,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [(b'content-length', str(len(body)).encode()), *headers],
        }
    )
    await send({'type': 'http.response.body', 'body': body})
