"""Stand-in targets over HTTP, with slots, latency and injected faults.

They record each request that they start and finish, so that a test can
compare the records with the outcomes that the callers got.
"""

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
_SHED_STATUS = 503


class ConnectionDrop(enum.StrEnum):
    """When a stand-in aborts the connection, relative to its answer."""

    never = 'never'
    before = 'before'
    during = 'during'
    after = 'after'


class Behaviour(msgspec.Struct, frozen=True, kw_only=True):
    """How a stand-in treats requests.

    :param work_s: run time of one request, in seconds.
    :param warmup_factor: factor on the run time while it warms up.
    :param warmup_requests: number of requests after which it is warm.
    :param body_bytes: size of the answer's body; 0 for a short JSON text.
    :param chunked: whether the answer has no ``content-length``.
    :param connection_drop: when it aborts the connection.
    :param draining: whether its answers carry the draining header.
    :param sheds: whether it rejects requests when all slots are in use.
    :param load_lag_s: age of the load that it reports, in seconds.
    :param load_error: number added to the reported requests in flight, so
        that the report is wrong.
    :param honours_deadline: whether it cancels a request at its deadline.
    :param finishes_abandoned: whether it runs a request to its end after the
        client closed the connection.
    """

    work_s: float = 0.005
    warmup_factor: float = 1
    warmup_requests: int = 0
    body_bytes: int = 0
    chunked: bool = False
    connection_drop: ConnectionDrop = ConnectionDrop.never
    draining: bool = False
    sheds: bool = True
    load_lag_s: float = 0
    load_error: int = 0
    honours_deadline: bool = True
    finishes_abandoned: bool = False


class RequestRecord(msgspec.Struct, frozen=True):
    """A request that a stand-in started.

    :param key: idempotency key, empty if the request has none.
    :param body_bytes: size of the request's body.
    """

    target: str
    kind: str
    key: str
    body_bytes: int
    request_id: str


class LoadReport(msgspec.Struct, frozen=True):
    """Load that a target reports at ``LOAD_PATH``."""

    in_flight: int
    slots: int


class StandinState:
    """Behaviour, counters and request records of one stand-in target.

    :param target: the target that it replaces.
    :param behaviour: how it treats requests; may be replaced at any time.
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

    def begin_request(self) -> None:
        """Count a request that starts."""
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self._record_in_flight()

    def end_request(self) -> None:
        """Count a request that ends."""
        self.in_flight -= 1
        self._record_in_flight()

    def work_s(self) -> float:
        """Return the run time of the request started last, in seconds."""
        warming_up = len(self.started) <= self.behaviour.warmup_requests
        factor = self.behaviour.warmup_factor if warming_up else 1
        return self.behaviour.work_s * factor

    def report(self) -> LoadReport:
        """Return the load as of ``load_lag_s`` ago, with the set error."""
        as_of = asyncio.get_running_loop().time() - self.behaviour.load_lag_s
        while len(self._history) > 1 and self._history[1][0] <= as_of:
            self._history.popleft()
        in_flight = self._history[0][1] + self.behaviour.load_error
        return LoadReport(in_flight, self.target.slots)

    def _record_in_flight(self) -> None:
        now = asyncio.get_running_loop().time()
        self._history.append((now, self.in_flight))
        self.report()


class StandinUpstreams:
    """All stand-in targets of a deployment, served by one HTTP server.

    :param targets: the targets to replace.
    :param work_s: run time of one request, in seconds.
    """

    def __init__(
        self,
        targets: tuple[Target, ...],
        work_s: float = 0.005,
    ) -> None:
        behaviour = Behaviour(work_s=work_s)
        self.by_port = {
            target.port: StandinState(target, behaviour) for target in targets
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

    def state(self, name: str) -> StandinState:
        """Return the state of one target.

        :param name: name of the target.
        """
        return next(
            state
            for state in self.by_port.values()
            if state.target.name == name
        )

    def set_behaviour(self, behaviour: Behaviour, *names: str) -> None:
        """Replace the behaviour of targets.

        :param behaviour: the behaviour for all requests from now on.
        :param names: names of the targets; without names, all targets.
        """
        for state in self.by_port.values():
            if not names or state.target.name in names:
                state.behaviour = behaviour

    def served(self) -> list[RequestRecord]:
        """Return the finished requests of all targets."""
        return [
            record for state in self.by_port.values() for record in state.served
        ]

    def started(self) -> list[RequestRecord]:
        """Return the started requests of all targets."""
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
            not_run = (NOT_RUN_HEADER.encode(), b'1')
            await _answer(
                send,
                _SHED_STATUS,
                b'busy',
                [not_run, *_drain_headers(behaviour)],
            )
            return
        state.begin_request()
        run = asyncio.create_task(_run(state, scope, receive, send))
        run.add_done_callback(lambda _task: state.end_request())
        if not behaviour.finishes_abandoned:
            scope['state']['caller_disconnected'].add_done_callback(
                lambda _disconnected: run.cancel()
            )
        with contextlib.suppress(asyncio.CancelledError):
            await run


async def _run(
    state: StandinState, scope: Any, receive: Any, send: Any
) -> None:
    behaviour = state.behaviour
    try:
        request_bytes = await _read_body(receive)
        record = _record(scope, state, request_bytes)
        state.started.append(record)
        async with asyncio.timeout(_deadline_s(scope, behaviour)):
            await asyncio.sleep(state.work_s())
    except (TimeoutError, ConnectionError):
        state.cancelled += 1
        scope['state']['abort']()
        return
    except asyncio.CancelledError:
        state.cancelled += 1
        raise
    state.served.append(record)
    await _respond(behaviour, scope, send, request_bytes)


async def _respond(
    behaviour: Behaviour,
    scope: Any,
    send: Any,
    request_bytes: int,
) -> None:
    body = b'{"bytes": %d}' % request_bytes
    if behaviour.body_bytes:
        body = b'x' * behaviour.body_bytes
    if behaviour.connection_drop == ConnectionDrop.before:
        scope['state']['abort']()
        return
    headers = _drain_headers(behaviour)
    headers.append((b'x-request-id', _request_id(scope).encode()))
    if not behaviour.chunked:
        headers.append((b'content-length', b'%d' % len(body)))
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers},
    )
    sent_bytes = (
        len(body) // 2
        if behaviour.connection_drop == ConnectionDrop.during
        else len(body)
    )
    for start in range(0, sent_bytes, _CHUNK_BYTES):
        chunk = body[start : min(start + _CHUNK_BYTES, sent_bytes)]
        await _send_chunk(send, chunk, more=True)
    if behaviour.connection_drop == ConnectionDrop.during:
        # After one turn of the loop the transport has passed the first half
        # to the kernel.
        await asyncio.sleep(0)
        scope['state']['abort']()
        return
    await _send_chunk(send, b'', more=False)
    if behaviour.connection_drop == ConnectionDrop.after:
        await asyncio.sleep(0)
        scope['state']['abort']()


def _drain_headers(behaviour: Behaviour) -> list[tuple[bytes, bytes]]:
    if not behaviour.draining:
        return []
    return [(DRAINING_HEADER.encode(), b'1'), (b'connection', b'close')]


def _deadline_s(scope: Any, behaviour: Behaviour) -> float | None:
    left_ms = dict(scope['headers']).get(DEADLINE_HEADER.encode(), b'')
    if not behaviour.honours_deadline or not left_ms.isdigit():
        return None
    return int(left_ms) / 1000


def _listen(target: Target) -> socket.socket:
    # asyncio sets TCP_NODELAY only on sockets that have the protocol number.
    # With Nagle's algorithm, an answer in two writes waits 40 ms for a
    # delayed acknowledgement.
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
            raise ConnectionError(
                'client disconnected before the end of the request body'
            )
        size += len(event.get('body', b''))
        if not event.get('more_body', False):
            return size


def _record(
    scope: Any, state: StandinState, request_bytes: int
) -> RequestRecord:
    headers = {name: text.decode() for name, text in scope['headers']}
    return RequestRecord(
        state.target.name,
        headers.get(KIND_HEADER.encode(), ''),
        headers.get(KEY_HEADER.encode(), ''),
        request_bytes,
        _request_id(scope),
    )


def _request_id(scope: Any) -> str:
    query = parse_qs(scope['query_string'].decode())
    return str(query.get('id', [''])[0])


async def _send_chunk(send: Any, chunk: bytes, *, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': chunk, 'more_body': more})


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
    await _send_chunk(send, body, more=False)
