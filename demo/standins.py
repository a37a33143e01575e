"""Stand-in upstreams: slots, latency, failures and a request log."""

import asyncio
import collections
import contextlib
import enum
import socket
from typing import Any
from urllib.parse import parse_qs

import msgspec

from cuminhoist.httpserver import HttpServer
from cuminhoist.settings import Target
from cuminhoist.types import (
    DEADLINE_HEADER,
    DRAINING_HEADER,
    KEY_HEADER,
    KIND_HEADER,
    NOT_RUN_HEADER,
)

LOAD_PATH = '/load'
_CHUNK_BYTES = 16 * 1024
_BUSY = 503


class ConnectionDrop(enum.StrEnum):
    """When a stand-in drops the connection of a request."""

    never = 'never'
    before = 'before'
    during = 'during'
    after = 'after'


class Behaviour(msgspec.Struct, frozen=True, kw_only=True):
    """What a stand-in does with requests.

    :param work_s: time that one request takes, in seconds.
    :param cold_factor: how many times longer the first requests take.
    :param cold_requests: how many requests it takes to warm up.
    :param body_bytes: size of the answer; 0 for a short JSON text.
    :param chunked: whether the answer has no declared length.
    :param crash: when it drops the connection.
    :param draining: whether it says that it is leaving.
    :param sheds: whether it refuses requests beyond its slots.
    :param load_lag_s: age of the load that it reports, in seconds.
    :param load_error: added to the reported load, to mislead.
    :param honours_deadline: whether it gives up at the deadline.
    :param works_on: whether it finishes the work of a caller that has gone.
    """

    work_s: float = 0.005
    cold_factor: float = 1
    cold_requests: int = 0
    body_bytes: int = 0
    chunked: bool = False
    crash: ConnectionDrop = ConnectionDrop.never
    draining: bool = False
    sheds: bool = True
    load_lag_s: float = 0
    load_error: int = 0
    honours_deadline: bool = True
    works_on: bool = False


class RequestRecord(msgspec.Struct, frozen=True):
    """One request that a stand-in ran."""

    target: str
    kind: str
    key: str
    body_bytes: int
    request_id: str


class LoadReport(msgspec.Struct, frozen=True):
    """What a target reports about its load."""

    in_flight: int
    slots: int


class UpstreamState:
    """What one stand-in target does and has seen.

    :param target: the target it stands in for.
    :param behaviour: what it does; may be replaced at any time.
    """

    def __init__(self, target: Target, behaviour: Behaviour) -> None:
        self.target = target
        self.behaviour = behaviour
        self.in_flight = 0
        self.most_in_flight = 0
        self.shed = 0
        self.cancelled = 0
        self.started: list[RequestRecord] = []
        self.served: list[RequestRecord] = []
        self._history: collections.deque[tuple[float, int]] = collections.deque(
            [(0, 0)],
        )

    def enter(self) -> None:
        """Count a request that starts."""
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self._note()

    def leave(self) -> None:
        """Count a request that ends."""
        self.in_flight -= 1
        self._note()

    def work_s(self) -> float:
        """Return the time that the next request takes."""
        cold = len(self.started) <= self.behaviour.cold_requests
        factor = self.behaviour.cold_factor if cold else 1
        return self.behaviour.work_s * factor

    def report(self) -> LoadReport:
        """Return the load as it was some time ago."""
        until = asyncio.get_running_loop().time() - self.behaviour.load_lag_s
        while len(self._history) > 1 and self._history[1][0] <= until:
            self._history.popleft()
        in_flight = self._history[0][1] + self.behaviour.load_error
        return LoadReport(in_flight, self.target.slots)

    def _note(self) -> None:
        now = asyncio.get_running_loop().time()
        self._history.append((now, self.in_flight))
        self.report()


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
        behaviour = Behaviour(work_s=work_s)
        self.by_port = {
            target.port: UpstreamState(target, behaviour) for target in targets
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
        self._server.begin_stop()
        if self._task is not None:
            await self._task

    def state(self, name: str) -> UpstreamState:
        """Return the state of one target.

        :param name: name of the target.
        """
        return next(
            state
            for state in self.by_port.values()
            if state.target.name == name
        )

    def set_behaviour(self, behaviour: Behaviour, *names: str) -> None:
        """Change what targets do.

        :param behaviour: what they do from now on.
        :param names: names of the targets; none for all.
        """
        for state in self.by_port.values():
            if not names or state.target.name in names:
                state.behaviour = behaviour

    def served(self) -> list[RequestRecord]:
        """Return all requests that were finished, over all targets."""
        return [
            record for state in self.by_port.values() for record in state.served
        ]

    def started(self) -> list[RequestRecord]:
        """Return all requests that were started, over all targets."""
        return [
            record
            for state in self.by_port.values()
            for record in state.started
        ]

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        state = self.by_port[scope['server'][1]]
        if scope['path'] == LOAD_PATH:
            await _answer(send, 200, msgspec.json.encode(state.report()), [])
            return
        behaviour = state.behaviour
        if behaviour.sheds and state.in_flight >= state.target.slots:
            state.shed += 1
            marker = (NOT_RUN_HEADER.encode(), b'1')
            await _answer(send, _BUSY, b'busy', [marker, *_signals(behaviour)])
            return
        state.enter()
        run = asyncio.create_task(_run(state, scope, receive, send))
        run.add_done_callback(lambda _task: state.leave())
        if not behaviour.works_on:
            scope['state']['caller_disconnected'].add_done_callback(
                lambda _gone: run.cancel()
            )
        with contextlib.suppress(asyncio.CancelledError):
            await run


async def _run(
    state: UpstreamState, scope: Any, receive: Any, send: Any
) -> None:
    behaviour = state.behaviour
    try:
        size = await _read_body(receive)
        record = _record(scope, state, size)
        state.started.append(record)
        async with asyncio.timeout(_left_s(scope, behaviour)):
            await asyncio.sleep(state.work_s())
    except (TimeoutError, ConnectionError):
        state.cancelled += 1
        scope['state']['abort']()
        return
    except asyncio.CancelledError:
        state.cancelled += 1
        raise
    state.served.append(record)
    await _respond(behaviour, scope, send, size)


async def _respond(
    behaviour: Behaviour,
    scope: Any,
    send: Any,
    size: int,
) -> None:
    body = b'{"bytes": %d}' % size
    if behaviour.body_bytes:
        body = b'x' * behaviour.body_bytes
    if behaviour.crash == ConnectionDrop.before:
        scope['state']['abort']()
        return
    headers = _signals(behaviour)
    headers.append((b'x-request-id', _request_id(scope).encode()))
    if not behaviour.chunked:
        headers.append((b'content-length', b'%d' % len(body)))
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers},
    )
    middle = (
        len(body) // 2
        if behaviour.crash == ConnectionDrop.during
        else len(body)
    )
    for start in range(0, middle, _CHUNK_BYTES):
        part = body[start : min(start + _CHUNK_BYTES, middle)]
        await _send_part(send, part, more=True)
    if behaviour.crash == ConnectionDrop.during:
        # The transport has handed the first half to the kernel by then.
        await asyncio.sleep(0)
        scope['state']['abort']()
        return
    await _send_part(send, b'', more=False)
    if behaviour.crash == ConnectionDrop.after:
        await asyncio.sleep(0)
        scope['state']['abort']()


def _signals(behaviour: Behaviour) -> list[tuple[bytes, bytes]]:
    if not behaviour.draining:
        return []
    return [(DRAINING_HEADER.encode(), b'1'), (b'connection', b'close')]


def _left_s(scope: Any, behaviour: Behaviour) -> float | None:
    left = dict(scope['headers']).get(DEADLINE_HEADER.encode(), b'')
    if not behaviour.honours_deadline or not left.isdigit():
        return None
    return int(left) / 1000


def _listen(target: Target) -> socket.socket:
    # Without the protocol number asyncio leaves Nagle's algorithm on, and
    # each answer in two parts waits 40 ms for a delayed acknowledgement.
    sock = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((target.host, target.port))
    return sock


async def _read_body(receive: Any) -> int:
    size = 0
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            raise ConnectionError('the body was cut')
        size += len(event.get('body', b''))
        if not event.get('more_body', False):
            return size


def _record(scope: Any, state: UpstreamState, size: int) -> RequestRecord:
    headers = {name: text.decode() for name, text in scope['headers']}
    return RequestRecord(
        state.target.name,
        headers.get(KIND_HEADER.encode(), ''),
        headers.get(KEY_HEADER.encode(), ''),
        size,
        _request_id(scope),
    )


def _request_id(scope: Any) -> str:
    query = parse_qs(scope['query_string'].decode())
    return str(query.get('id', [''])[0])


async def _send_part(send: Any, part: bytes, *, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': part, 'more_body': more})


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
    await _send_part(send, body, more=False)
