"""Measures memory and throughput with callers that do not read, or slowly.

Each variant runs in this process, one after the other: without bounds on
memory, and with those of a limit of 200 MB. Prints JSON. Run with
``PYTHONPATH=src python -m benchmarks.slow_readers``. All traffic is on
loopback and ends after the times below.
"""

import asyncio
import contextlib
import gc
import json
import pathlib
import resource
import socket
from typing import Any

from cuminhoist.caller_memory import CallerMemory, MemoryLimits
from cuminhoist.httpserver import HttpServer

HOST = '127.0.0.1'
STALLED_COUNT = 2000
SLOW_COUNT = 1000
FAST_COUNT = 100
#: Bytes that a slow reader takes in a second.
SLOW_BYTES_PER_S = 1000
#: Time of each measurement, in seconds.
MEASURE_S = 6
ANSWER_BYTES = 256 * 1024
FAST_ANSWER_BYTES = 20_000
#: Buffers of the kernel for each connection; small, so that the process holds
#: the rest of an answer.
RECEIVE_BYTES = 4096
SEND_BYTES = 16 * 1024
LIMIT_BYTES = 200e6

_PAGE_BYTES = resource.getpagesize()
_MB = 1e6


async def _answer(scope: Any, _receive: Any, send: Any) -> None:
    pipelined = scope['state']['pipelined_request']
    fast = scope['path'] == '/fast'
    size = FAST_ANSWER_BYTES if fast else ANSWER_BYTES
    refused = pipelined.memory.process.is_full
    status, body = (503, b'') if refused else (200, bytes(size))
    headers = [(b'content-length', b'%d' % len(body))]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})


def _resident_bytes() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES


async def _connect(port: int) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return sock


async def _open(port: int, count: int) -> list[socket.socket]:
    loop = asyncio.get_running_loop()
    socks = []
    for _ in range(count):
        sock = await _connect(port)
        await loop.sock_sendall(sock, b'GET /large HTTP/1.1\r\nhost: x\r\n\r\n')
        socks.append(sock)
    return socks


async def _read_slowly(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while await asyncio.get_running_loop().sock_recv(
            sock, SLOW_BYTES_PER_S
        ):
            await asyncio.sleep(1)


async def _read_fast(port: int, counts: dict[str, int]) -> None:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        while True:
            writer.write(b'GET /fast HTTP/1.1\r\nhost: x\r\n\r\n')
            head = await reader.readuntil(b'\r\n\r\n')
            served = b' 200 ' in head
            if served:
                await reader.readexactly(FAST_ANSWER_BYTES)
            counts['served' if served else 'refused'] += 1
    finally:
        writer.close()


async def _measure_stalled(server: HttpServer, port: int) -> dict[str, float]:
    gc.collect()
    before = _resident_bytes()
    socks = await _open(port, STALLED_COUNT)
    await asyncio.sleep(MEASURE_S / 2)
    memory: CallerMemory = getattr(server.server_state, 'memory')
    figures = {
        'stalled: resident MB more': (_resident_bytes() - before) / _MB,
        'stalled: held MB': sum(memory.held.values()) / _MB,
        'stalled: closed for memory': memory.closed_connections,
    }
    for sock in socks:
        sock.close()
    return figures


async def _measure_slow(port: int) -> dict[str, float]:
    socks = await _open(port, SLOW_COUNT)
    counts = {'served': 0, 'refused': 0}
    tasks = [asyncio.create_task(_read_slowly(sock)) for sock in socks]
    tasks.extend(
        asyncio.create_task(_read_fast(port, counts)) for _ in range(FAST_COUNT)
    )
    await asyncio.sleep(MEASURE_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for sock in socks:
        sock.close()
    return {
        f'fast beside slow: {name} per s': count / MEASURE_S
        for name, count in counts.items()
    }


async def _measure(limits: MemoryLimits) -> dict[str, float]:
    server = HttpServer.from_app(
        _answer, HOST, overlaps_requests=True, memory=CallerMemory(limits)
    )
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    listener = server.servers[0].sockets[0]
    # Connections inherit the option.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
    port = listener.getsockname()[1]
    figures = await _measure_stalled(server, port)
    figures.update(await _measure_slow(port))
    server.drain_timeout_s = 0
    server.begin_stop()
    await serving
    return {name: round(figure, 1) for name, figure in figures.items()}


async def _run() -> dict[str, dict[str, float]]:
    # The bounded variant goes first: memory that a process has used is not
    # always returned to the system.
    bounded = await _measure(MemoryLimits.from_memory(LIMIT_BYTES))
    return {
        'bounded by 200 MB': bounded,
        'without bounds': await _measure(MemoryLimits()),
    }


if __name__ == '__main__':
    print(json.dumps(asyncio.run(_run()), indent=1))
