"""Runs a gateway on loopback with scripted targets and a raw caller."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

import msgspec

from cuminhoist.fleet.instance_config import Address
from cuminhoist.gateway.pacing import LinkPacer
from cuminhoist.gateway.placement_client import (
    DispatcherClient,
    PlacementClient,
)
from cuminhoist.gateway.relay import relay_app
from cuminhoist.gateway.request_metrics import RequestMetrics
from cuminhoist.gateway.request_proxy import RequestProxy
from cuminhoist.gateway.routes import (
    CallerLimits,
    RepeatPolicy,
    Route,
    RouteTable,
    WeightedService,
)
from cuminhoist.gateway.target_connections import TargetConnections
from cuminhoist.gateway.workspaces import Workspace, WorkspaceTable
from cuminhoist.httpserver import HttpServer
from cuminhoist.listener_limits import ListenerLimits
from cuminhoist.platform.requests import PlatformWire
from cuminhoist.steering.decisions import (
    AttemptReport,
    Decision,
    Granted,
    PlacementRequest,
)
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.slot_lending import (
    DispatchContext,
    make_tracked_targets,
)
from cuminhoist.steering.targets import TargetEntry, TargetState
from tests.waiting import eventually

HOST = 'shop.example'
SERVICE = 'svc'

Script = Callable[[bytes], bytes | None]


class NoDispatcher(DispatcherClient):
    """Client of a region that has no dispatcher."""

    def is_available(self) -> bool:
        return False

    def send_request(self, req) -> None:
        raise AssertionError('no dispatcher')

    def report_attempt_end(self, report) -> None:
        raise AssertionError('no dispatcher')

    def withdraw(self, number, service) -> None:
        raise AssertionError('no dispatcher')


class HeldDispatcher(DispatcherClient):
    """A dispatcher that decides when a test tells it to."""

    def __init__(self) -> None:
        self.requests: list[PlacementRequest] = []
        self.reports: list[AttemptReport] = []

    def is_available(self) -> bool:
        return True

    def send_request(self, req) -> None:
        self.requests.append(req)

    def report_attempt_end(self, report) -> None:
        self.reports.append(report)

    def withdraw(self, number, service) -> None:
        """Ignore that a request does not wait any more."""

    def grant(self, target: str = 't0') -> Granted:
        """Return a grant of a target to the last request."""
        return Granted(self.requests[-1].number, target, region='r')


class ScriptedTarget:
    """Answers each request with the bytes that a script returns.

    :param script: gets the head of a request and returns the bytes of the
        answer; empty bytes close the connection, None never answers.
    """

    def __init__(self, script: Script) -> None:
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.closed_connections = 0
        self._script = script
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen and return the address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=2**20
        )
        host, port = self._server.sockets[0].getsockname()
        return Address(host, port)

    def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.heads.append(head)
                length = _length(head)
                self.bodies.append(await reader.readexactly(length))
                answer = self._script(head)
                if answer is None:
                    await reader.read()
                    raise ConnectionResetError
                if not answer:
                    break
                writer.write(answer)
                if b'connection: close' in answer:
                    break
        self.closed_connections += 1
        writer.close()


def answer(
    head: bytes,
    body: bytes = b'whole',
    status: str = '200 OK',
    **headers: str,
) -> bytes:
    """Return an answer that echoes the x-request-id header of a request."""
    fields = {
        'x-request-id': header(head, 'x-request-id'),
        'x-server-stamp': 'stamp',
        'content-length': str(len(body)),
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    return f'HTTP/1.1 {status}\r\n{lines}\r\n'.encode() + body


def header(head: bytes, name: str) -> str:
    """Return the text of a header; empty if it is missing."""
    for line in head.decode('latin-1').split('\r\n'):
        key, _, text = line.partition(': ')
        if key.lower() == name:
            return text
    return ''


def header_values(head: bytes, name: str) -> list[str]:
    """Return the texts of all headers with a name."""
    lines = [line.partition(': ') for line in head.decode().split('\r\n')]
    return [text for key, _, text in lines if key.lower() == name]


def bearer(api_key: str) -> tuple[str, ...]:
    """Return the lines of the head of a request with a key."""
    return (f'Authorization: Bearer {api_key}',)


def route(**changes) -> Route:
    """Return a route to the service.

    :param changes: fields that differ from the defaults.
    """
    fields = {
        'name': 'r',
        'prefix': '/a/',
        'repeat': RepeatPolicy.idempotent,
        'weighted_services': (WeightedService(SERVICE, 1),),
        'timeout_s': 1.0,
        'objective_s': 0.25,
        'max_targets': 2,
        **changes,
    }
    return Route(**fields)


class RecordingDispatcher(Dispatcher):
    """Dispatcher that keeps the placement requests that it decided on."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[PlacementRequest] = []

    def decide_or_queue(
        self, entry_instance: str, request: PlacementRequest, now: float
    ) -> Decision | None:
        self.requests.append(request)
        return super().decide_or_queue(entry_instance, request, now)


class GatewayHarness:
    """A running gateway between a caller and scripted targets.

    :param proxy: request proxy of the gateway.
    :param server: its listener.
    :param port: port on loopback where it takes requests.
    """

    def __init__(
        self, proxy: RequestProxy, server: HttpServer, port: int
    ) -> None:
        self.proxy = proxy
        self.server = server
        self.port = port
        #: Its local dispatcher; none if it was built elsewhere.
        self.dispatcher: RecordingDispatcher | None = None

    def set_limits(self, **limits: float) -> None:
        """Put a configuration with limits on heads and idle time in force.

        :param limits: the limits that are not at their defaults.
        """
        routing_state = self.proxy.routing_state
        routing_state.replace_routes(
            msgspec.structs.replace(
                routing_state.routes,
                limits=CallerLimits(listener=ListenerLimits(**limits)),
            )
        )

    async def request(
        self,
        method: str = 'GET',
        path: str = '/a/x',
        body: bytes = b'',
        deadline_ms: int = 1000,
        request_id: str = 'id1',
        cookie: str = '',
        fields: tuple[str, ...] = (),
        caller: str = '127.0.0.1',
    ) -> bytes:
        """Send a request on a new connection and return all bytes received.

        :param fields: further lines of the head.
        :param caller: address of the caller.
        """
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.port, local_addr=(caller, 0)
        )
        cookies = (f'Cookie: {cookie}',) if cookie else ()
        further = ''.join(f'{line}\r\n' for line in (*cookies, *fields))
        writer.write(
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{further}'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'.encode()
            + body,
        )
        received = b''
        with contextlib.suppress(ConnectionError):
            received = await reader.read()
        writer.close()
        return received

    @contextlib.asynccontextmanager
    async def connection(self) -> AsyncIterator['CallerStream']:
        """Open a connection on which requests are sent in turn."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        yield CallerStream(reader, writer)
        writer.close()

    def set_workspaces(
        self, *entries: tuple[Workspace, tuple[str, ...]]
    ) -> None:
        """Put a newer configuration with workspaces in force.

        :param entries: each workspace with its keys.
        """
        routing_state = self.proxy.routing_state
        routes = routing_state.routes
        routing_state.replace_routes(
            msgspec.structs.replace(
                routes,
                version=routes.version + 1,
                workspaces=WorkspaceTable.from_keys(entries),
            )
        )

    async def send_and_disconnect(self, target: ScriptedTarget) -> None:
        """Send a request and close the connection once a target has it."""
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(
            f'GET /a/x HTTP/1.1\r\nHost: {HOST}\r\n'
            'X-Request-Id: id1\r\n\r\n'.encode(),
        )
        await eventually(lambda: bool(target.heads))
        writer.transport.abort()


class CallerStream:
    """A connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def write(self, content: bytes) -> None:
        """Send bytes, such as the body of a request."""
        self._writer.write(content)

    async def send(self, *fields: str, path: str = '/a/x') -> bytes:
        """Send the head of a request and return the answer.

        :param fields: further lines of the head.
        """
        self.begin(*fields, path=path)
        return await self.receive()

    def begin(
        self, *fields: str, path: str = '/a/x', request_id: str = 'id1'
    ) -> None:
        """Send the head of a request.

        :param fields: further lines of the head.
        """
        further = ''.join(f'{line}\r\n' for line in fields)
        self.write(
            f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{further}'
            f'X-Request-Id: {request_id}\r\n\r\n'.encode()
        )

    async def receive(self) -> bytes:
        """Return the next answer."""
        head = await self._reader.readuntil(b'\r\n\r\n')
        return head + await self._reader.readexactly(_length(head))


@contextlib.asynccontextmanager
async def gateway(
    *targets: ScriptedTarget,
    remote: DispatcherClient | None = None,
    now: Callable[[], float] = time.monotonic,
    link_bytes_per_s: float = float('inf'),
    domains: str = 'z',
    **changes,
) -> AsyncIterator[GatewayHarness]:
    """Run a gateway in front of targets.

    :param targets: the targets, named t0, t1 and so on.
    :param remote: the dispatcher of the region; None for none.
    :param now: returns monotonic time in seconds.
    :param link_bytes_per_s: bandwidth of its link, in bytes a second.
    :param domains: failure domain of each target, one letter each; the last
        one is that of all further targets.
    :param changes: fields of the route that differ from the defaults.
    """
    entries = [
        TargetEntry(
            name=f't{index}',
            service=SERVICE,
            address=await target.start(),
            domain=domains[min(index, len(domains) - 1)],
            slots=3,
            state=TargetState.ready,
        )
        for index, target in enumerate(targets)
    ]
    local = RecordingDispatcher()
    terms = DispatchContext(
        'r', dict.fromkeys(domains, 'r'), frozenset(), {}, {}, {}
    )
    local.set_targets(
        SERVICE, make_tracked_targets({}, entries, {}, terms, 0), 'r'
    )
    proxy = RequestProxy(
        PlatformWire(),
        TargetConnections(now, LinkPacer(link_bytes_per_s, now)),
        PlacementClient(remote or NoDispatcher(), local, now),
        RequestMetrics(),
        now,
        retry_ratio=10,
        min_retry_budget=100,
    )
    proxy.routing_state.routes = RouteTable(1, {HOST: (route(**changes),)}, {})
    proxy.routing_state.targets = {entry.name: entry for entry in entries}
    async with served(proxy) as harness:
        harness.dispatcher = local
        try:
            yield harness
        finally:
            for target in targets:
                target.stop()


@contextlib.asynccontextmanager
async def served(proxy: RequestProxy) -> AsyncIterator[GatewayHarness]:
    """Run a request proxy behind a listener.

    :param proxy: the proxy, with routes and targets.
    """
    async with listening(proxy) as server:
        proxy.routing_state.apply_limits = server.apply_limits
        yield GatewayHarness(proxy, server, _port(server))


@contextlib.asynccontextmanager
async def relayed_to(
    cut: GatewayHarness, other: GatewayHarness
) -> AsyncIterator[list[frozenset[str]]]:
    """Let a cut instance pass its requests on to another one.

    The result has the regions for which the cut one has looked for others.

    :param cut: the instance that relays.
    :param other: the one that serves.
    """
    asked: list[frozenset[str]] = []
    async with listening(relay_app(other.proxy)) as relay:
        peer = TargetEntry(
            name='other',
            service='',
            address=address_of(relay),
            domain='y',
            slots=8,
            state=TargetState.ready,
        )

        def find_peers(regions):
            asked.append(regions)
            return [peer]

        cut.proxy.relay.find_peers = find_peers
        yield asked


@contextlib.asynccontextmanager
async def listening(app) -> AsyncIterator[HttpServer]:
    """Run a listener for an application.

    :param app: the application.
    """
    server = HttpServer.from_app(app, '127.0.0.1', 0, overlaps_requests=True)
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    try:
        yield server
    finally:
        server.drain_timeout_s = 0
        server.should_exit = True
        await serving


def address_of(server: HttpServer) -> Address:
    """Return the address that a listener listens on."""
    return Address('127.0.0.1', _port(server))


def _port(server: HttpServer) -> int:
    return server.servers[0].sockets[0].getsockname()[1]


def _length(head: bytes) -> int:
    return int(header(head, 'content-length') or 0)
