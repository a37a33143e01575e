"""Compares HTTP clients and transports for requests to targets.

It measures throughput and latency, and counts how often a target runs a
request when it closes the connection on it. Prints JSON.
Run: python -m benchmarks.transports [--seed 1] [--requests 1500] [--rounds 5]
"""

import abc
import asyncio
import collections
import random
import statistics
import time
from typing import Any

import aiohttp
import fire
import httpcore
import httpx
import msgspec
from httpx_aiohttp import AiohttpTransport

from cuminhoist.connection_pool import ConnectionLimits, PoolTransport

TARGETS = 32
SLOTS = 3
#: Numbers of concurrent requests that are measured.
IN_FLIGHT = (3, 24, 96)
_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\n%b' % (b'x' * 64)
_HEADERS = [
    (b'host', b'127.0.0.1'),
    (b'x-cuminhoist-caller', b'sir-alwen'),
    (b'x-cuminhoist-kind', b'browse'),
    (b'accept', b'application/json'),
]


class Standin(asyncio.Protocol):
    """Answers each request head with constant bytes."""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport.

        :param transport: the transport of the connection.
        """
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer at the end of a request head.

        :param data: bytes of a request.
        """
        if data.endswith(b'\r\n\r\n'):
            self.transport.write(_ANSWER)


class Sender(abc.ABC):
    """Sends requests in one of the ways that are compared."""

    @abc.abstractmethod
    async def send(self, port: int, method: str = 'GET') -> bytes:
        """Send a request and return the body of the answer.

        :param port: port of the target.
        :param method: method of the request.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class SharedClient(Sender):
    """One httpx client for all targets."""

    def __init__(self, transport: httpx.AsyncBaseTransport | None) -> None:
        self._client = httpx.AsyncClient(
            transport=transport,
            trust_env=False,
            limits=httpx.Limits(max_connections=None),
        )

    async def send(self, port: int, method: str = 'GET') -> bytes:
        """Send a request and return the body of the answer.

        :param port: port of the target.
        :param method: method of the request.
        """
        url = f'http://127.0.0.1:{port}/a'
        req = self._client.build_request(method, url, headers=_HEADERS)
        response = await self._client.send(req, stream=True)
        return b''.join([chunk async for chunk in response.aiter_raw()])

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


class TransportSender(Sender):
    """An httpx transport that is called without a client."""

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        self._transport = transport

    async def send(self, port: int, method: str = 'GET') -> bytes:
        """Send a request and return the body of the answer.

        :param port: port of the target.
        :param method: method of the request.
        """
        return await _read(self.transport_of(port), port, method)

    def transport_of(self, _port: int) -> httpx.AsyncBaseTransport:
        """Return the transport for a target.

        :param _port: port of the target.
        """
        return self._transport

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.aclose()


class PerTargetSender(TransportSender):
    """An httpx transport per target, with a connection per slot at most."""

    def __init__(self) -> None:
        self._transports: dict[int, httpx.AsyncHTTPTransport] = {}

    def transport_of(self, port: int) -> httpx.AsyncHTTPTransport:
        """Return the transport for a target.

        :param port: port of the target.
        """
        if port not in self._transports:
            limits = httpx.Limits(max_connections=SLOTS)
            self._transports[port] = httpx.AsyncHTTPTransport(
                trust_env=False,
                limits=limits,
            )
        return self._transports[port]

    async def close(self) -> None:
        """Close all connections."""
        for transport in self._transports.values():
            await transport.aclose()


class HttpcoreTransport(httpx.AsyncBaseTransport):
    """Transport with one httpcore connection per slot."""

    def __init__(self) -> None:
        self._idle: dict[int, list[httpcore.AsyncHTTPConnection]] = (
            collections.defaultdict(list)
        )

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send a request and return the head of its answer.

        :param request: the request.
        """
        port = request.url.port or 80
        conn = self._pop_idle_or_connect(port)
        response = await conn.handle_async_request(
            httpcore.Request(
                request.method.encode(),
                httpcore.URL(
                    scheme=b'http',
                    host=b'127.0.0.1',
                    port=port,
                    target=request.url.raw_path,
                ),
                headers=request.headers.raw,
                content=request.stream,
            )
        )
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=_SlotStream(response, conn, self._idle[port]),
        )

    def _pop_idle_or_connect(self, port: int) -> httpcore.AsyncHTTPConnection:
        idle = self._idle[port]
        while idle:
            conn = idle.pop()
            if conn.is_available() and not conn.has_expired():
                return conn
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b'http', b'127.0.0.1', port),
        )

    async def aclose(self) -> None:
        """Close all connections."""
        for idle in self._idle.values():
            for conn in idle:
                await conn.aclose()


class _SlotStream(httpx.AsyncByteStream):
    def __init__(self, response: Any, conn: Any, idle: list[Any]) -> None:
        self._response = response
        self._conn = conn
        self._idle = idle

    async def __aiter__(self) -> Any:
        async for chunk in self._response.stream:
            yield chunk

    async def aclose(self) -> None:
        await self._response.aclose()
        self._idle.append(self._conn)


def _aiohttp(retry: bool) -> Sender:
    def session() -> aiohttp.ClientSession:
        client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=SLOTS),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        if not retry:
            client._retry_connection = False
        return client

    return TransportSender(AiohttpTransport(client=session))


_SENDER_FACTORIES: dict[str, Any] = {
    'httpx client, shared': lambda: SharedClient(None),
    'httpx transport per target': PerTargetSender,
    'httpx-aiohttp': lambda: _aiohttp(retry=True),
    'httpx-aiohttp, no retry': lambda: _aiohttp(retry=False),
    'httpcore connection per slot': lambda: TransportSender(
        HttpcoreTransport()
    ),
    'own pool': lambda: TransportSender(
        PoolTransport(ConnectionLimits(SLOTS, SLOTS))
    ),
    'own pool below httpx client': lambda: SharedClient(
        PoolTransport(ConnectionLimits(SLOTS, SLOTS)),
    ),
}


async def _read(
    transport: httpx.AsyncBaseTransport,
    port: int,
    method: str,
) -> bytes:
    req = httpx.Request(
        method,
        f'http://127.0.0.1:{port}/a',
        headers=_HEADERS,
        content=b'',
    )
    response = await transport.handle_async_request(req)
    stream: Any = response.stream
    try:
        return b''.join([chunk async for chunk in stream])
    finally:
        await stream.aclose()


class Sample(msgspec.Struct, frozen=True):
    """Figures of one run.

    :param rate: requests per second.
    """

    rate: float
    p50_us: float
    p99_us: float


async def _run_load(
    sender: Sender,
    ports: list[int],
    in_flight: int,
    requests: int,
) -> Sample:
    times: list[float] = []

    async def work(number: int) -> None:
        port = ports[number % len(ports)]
        for _ in range(requests // in_flight):
            started = time.perf_counter()
            await sender.send(port)
            times.append(time.perf_counter() - started)

    load_started = time.perf_counter()
    await asyncio.gather(*(work(number) for number in range(in_flight)))
    elapsed_s = time.perf_counter() - load_started
    times.sort()
    return Sample(
        len(times) / elapsed_s,
        times[len(times) // 2] * 1e6,
        times[int(len(times) * 0.99)] * 1e6,
    )


class ClosingStandin(asyncio.Protocol):
    """Answers the first request and closes the connection on all later ones.

    :cvar seen: number of requests received, over all connections.
    """

    seen: int = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the transport.

        :param transport: the transport of the connection.
        """
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the first request; close the connection on another.

        :param data: bytes of a request.
        """
        closer_class = type(self)
        closer_class.seen += 1
        if closer_class.seen == 1:
            self.transport.write(_ANSWER)
        else:
            self.transport.close()


async def _count_runs_after_close(way: str, method: str) -> int:
    """Return how often a request reaches a target that closes on it.

    More than once means that the sender retried it on its own.
    """
    loop = asyncio.get_running_loop()
    closer_class: Any = type('CountingCloser', (ClosingStandin,), {'seen': 0})
    server = await loop.create_server(closer_class, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    sender: Sender = _SENDER_FACTORIES[way]()
    await sender.send(port, method)
    try:
        await sender.send(port, method)
    except (httpx.TransportError, httpcore.ProtocolError, aiohttp.ClientError):
        await asyncio.sleep(0.05)
    await sender.close()
    server.close()
    return int(closer_class.seen) - 1


def _median(samples: list[Sample]) -> dict[str, float]:
    return {
        field: round(
            statistics.median(getattr(sample, field) for sample in samples),
        )
        for field in ('rate', 'p50_us', 'p99_us')
    }


async def _measure(seed: int, requests: int, rounds: int) -> dict[str, Any]:
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(Standin, '127.0.0.1', 0)
        for _ in range(TARGETS)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    senders: dict[str, Sender] = {
        way: create() for way, create in _SENDER_FACTORIES.items()
    }
    runs: dict[tuple[str, int], list[Sample]] = collections.defaultdict(list)
    for sender in senders.values():
        await _run_load(sender, ports, max(IN_FLIGHT), 2 * max(IN_FLIGHT))
    for _ in range(rounds):
        order = [
            (way, in_flight)
            for way in _SENDER_FACTORIES
            for in_flight in IN_FLIGHT
        ]
        rng.shuffle(order)
        for way, in_flight in order:
            sample = await _run_load(senders[way], ports, in_flight, requests)
            runs[way, in_flight].append(sample)
    for sender in senders.values():
        await sender.close()
    for server in servers:
        server.close()
    return {
        name: {str(size): _median(runs[name, size]) for size in IN_FLIGHT}
        for name in _SENDER_FACTORIES
    }


async def _count_resends() -> dict[str, dict[str, int]]:
    return {
        way: {
            method: await _count_runs_after_close(way, method)
            for method in ('GET', 'POST')
        }
        for way in _SENDER_FACTORIES
    }


def run(seed: int = 1, requests: int = 1500, rounds: int = 5) -> None:
    """Measure all ways to send requests and print the figures as JSON.

    :param seed: seed of the order of the runs.
    :param requests: number of requests in each run.
    :param rounds: number of runs of each way.
    """
    measured = asyncio.run(_measure(seed, requests, rounds))
    resends = asyncio.run(_count_resends())
    print(
        msgspec.json.format(
            msgspec.json.encode(
                {'seed': seed, 'ways': measured, 'times_run': resends},
            ),
        ).decode(),
    )


if __name__ == '__main__':
    fire.Fire(run)
