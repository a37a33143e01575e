"""Stand-in targets behind proxies, and the server of the list of targets."""

import asyncio
import hashlib
import time
from typing import Any

import msgspec

from cuminhoist.httpserver import HttpServer

from .evidence import Arrival, Crash, Evidence, Run
from .proxy import Mode, Proxy

SERVICES = ('catalogue', 'publisher')
#: Duration of a run at a target, in seconds.
WORK_S = 0.03
#: Duration of a run at a target that is slow, in seconds.
SLOW_WORK_S = 0.6
#: Requests that a target runs at a time.
SLOTS = 3
#: Requests that a target queues before it sheds load with a 503.
MAX_QUEUED = 9
#: Shortest and longest pause that a target asks for in a 503, in seconds.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 3.0
#: Requests whose path begins with this end the target that runs them.
POISON_PREFIX = '/browse/poison'
#: Time until a target that has ended starts again, in seconds.
CRASHED_S = 1.0
_MISDIRECTED = 421
_SERVICE_UNAVAILABLE = 503
_INTERNAL_SERVER_ERROR = 500
_OK = 200


def answer_body(request_id: str) -> bytes:
    """Return the body that a target answers a request with.

    Its length and content depend on the request, so that callers detect
    truncated answers and answers to other requests.

    :param request_id: id of the request.
    """
    digest = hashlib.sha256(request_id.encode()).digest()
    return digest.hex().encode() * (1 + digest[0] * 4)


def requested_pause_s(request_id: str) -> float:
    """Return the pause that a target asks for when it refuses a request.

    :param request_id: id of the request; equal ids give equal pauses.
    """
    fraction = hashlib.sha256(request_id.encode()).digest()[1] / 255
    return round(MIN_PAUSE_S + fraction * (MAX_PAUSE_S - MIN_PAUSE_S), 2)


class Target:
    """One stand-in target behind a proxy.

    :param host: IP address that it listens on.
    :param service: service that it belongs to.
    :param domain: its failure domain.
    :param evidence: gets a record of each run.
    """

    def __init__(
        self,
        host: str,
        service: str,
        domain: str,
        evidence: Evidence,
    ) -> None:
        self.base_name = f'{service}-{domain}-{host.rpartition(".")[2]}'
        self.service = service
        self.domain = domain
        self.address = f'{host}:8080'
        self.proxy = Proxy(host, 8080, 8081)
        self.generation = 1
        self.started_at_ms = round(time.time() * 1000)
        self.slow = False
        self.failing = False
        self.pausing = False
        #: Requests per second that it takes from all instances; 0 for no limit.
        self.limit_per_s = float(0)
        #: Whether its answers say that it leaves.
        self.announcing = False
        #: Whether the list says that it leaves.
        self.leaving = False
        self.listed = True
        self._evidence = evidence
        self._admitted = 0
        self._closes_connections = False
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = HttpServer.from_app(self._serve, host, 8081)
        self._task: asyncio.Task[None] | None = None
        self._restart_task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Identity of its present incarnation."""
        return f'{self.base_name}-g{self.generation}'

    async def start(self) -> None:
        """Start to listen."""
        self._task = asyncio.create_task(self._server.serve())
        await self.proxy.start()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self.proxy.stop()
        await _close_server(self._server, self._task)

    def set_closing(self, *, closing: bool) -> None:
        """Close each connection after its answer, or keep them again.

        :param closing: whether to close them.
        """
        self._closes_connections = closing

    def crash(self, request_id: str, path: str) -> None:
        """End under a request, and start anew after ``CRASHED_S``.

        :param request_id: id of the request.
        :param path: its path.
        """
        if self._restart_task is not None and not self._restart_task.done():
            return
        self._evidence.crashes.append(
            Crash(request_id, path, self.name, time.monotonic())
        )
        self._restart_task = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await self.proxy.stop()
        await asyncio.sleep(CRASHED_S)
        self.replace()
        await self.proxy.start()

    def replace(self, service: str = '') -> None:
        """Begin a new incarnation of the target, with a new identity.

        :param service: service that uses the address now; empty for the same.
        """
        self.service = service or self.service
        self.generation += 1
        self.announcing = False
        self.leaving = False
        self.limit_per_s = 0
        self.started_at_ms = round(time.time() * 1000)

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        headers = dict(scope['headers'])
        expected = headers.get(b'x-expect-instance', b'').decode()
        request_id = headers.get(b'x-request-id', b'').decode()
        more_body = True
        while more_body:
            more_body = (await receive()).get('more_body', False)
        if expected not in {'', self.name}:
            await self._send_answer(send, _MISDIRECTED, b'', request_id)
            return
        overloaded = self._admitted >= SLOTS + MAX_QUEUED
        pause_s = float(0)
        if self.pausing or overloaded:
            pause_s = requested_pause_s(request_id)
        self._evidence.arrivals.append(
            Arrival(
                request_id,
                self.name,
                time.monotonic(),
                pause_s,
                self.limit_per_s,
            )
        )
        if pause_s:
            await self._send_answer(
                send, _SERVICE_UNAVAILABLE, b'', request_id, pause_s=pause_s
            )
            return
        # The incarnation may be replaced while the request is queued.
        incarnation = (self.name, self.service)
        self._admitted += 1
        try:
            async with self._slots:
                await self._run(scope, request_id, *incarnation)
        finally:
            self._admitted -= 1
        if self.failing:
            await self._send_answer(
                send, _INTERNAL_SERVER_ERROR, b'failed', request_id
            )
        else:
            body = answer_body(request_id)
            await self._send_answer(send, _OK, body, request_id)

    async def _run(
        self, scope: Any, request_id: str, name: str, service: str
    ) -> None:
        self._evidence.runs.append(
            Run(
                request_id,
                name,
                service,
                self.domain,
                scope['method'],
                scope['path'],
                time.monotonic(),
            ),
        )
        await asyncio.sleep(SLOW_WORK_S if self.slow else WORK_S)
        if scope['path'].startswith(POISON_PREFIX):
            self.crash(request_id, scope['path'])
            # The connection is reset before an answer could be sent.
            await asyncio.sleep(CRASHED_S)

    async def _send_answer(
        self,
        send: Any,
        status: int,
        body: bytes,
        request_id: str,
        *,
        pause_s: float = 0,
    ) -> None:
        headers = [
            (b'content-length', b'%d' % len(body)),
            (b'x-request-id', request_id.encode()),
            (b'x-server-stamp', self.name.encode()),
            (b'x-server-load', b'%d,0,%d' % (self._admitted, SLOTS)),
        ]
        if self.limit_per_s:
            headers.append((b'server-limit', b'%g' % self.limit_per_s))
        if self.announcing:
            headers.append((b'server-leaving', b'1'))
        if self._closes_connections:
            headers.append((b'connection', b'close'))
        if pause_s:
            headers.append((b'x-not-executed', b'1'))
            headers.append((b'retry-after', b'%.2f' % pause_s))
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            },
        )
        await send({'type': 'http.response.body', 'body': body})


class TargetList:
    """Serves the list of targets in the platform's format.

    :param host: IP address that it listens on.
    :param targets: targets to list.
    """

    def __init__(self, host: str, targets: list[Target]) -> None:
        self.address = f'{host}:8541'
        self.proxy = Proxy(host, 8541, 8542)
        self._targets = targets
        self._server = HttpServer.from_app(self._serve, host, 8542)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._task = asyncio.create_task(self._server.serve())
        await self.proxy.start()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        await self.proxy.stop()
        await _close_server(self._server, self._task)

    def set_failing(self, *, failing: bool) -> None:
        """Refuse connections, or accept them again.

        :param failing: whether to refuse connections.
        """
        self.proxy.switch_mode(Mode.refuse if failing else Mode.pass_on)

    async def _serve(self, _scope: Any, _receive: Any, send: Any) -> None:
        entries = {
            target.name: {
                'backend': target.service,
                'address': target.address,
                'zone': target.domain,
                'version': 'v1',
                'slots': SLOTS,
                'state': 'draining' if target.leaving else 'ready',
                'cold_remaining_ms': 0,
                'born': target.started_at_ms,
            }
            for target in self._targets
            if target.listed
        }
        body = msgspec.json.encode(
            {'instances': entries, 'next_page_token': None},
        )
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
        ]
        await send(
            {'type': 'http.response.start', 'status': _OK, 'headers': headers},
        )
        await send({'type': 'http.response.body', 'body': body})


async def _close_server(
    server: HttpServer, task: asyncio.Task[None] | None
) -> None:
    """Close the listeners at once, without waiting for open requests."""
    for listener in server.servers:
        listener.close()
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
