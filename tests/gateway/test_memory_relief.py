"""Requests on connections that are closed because memory is short.

The tests guard against requests that were passed on to sound targets and get
no answer although their caller reads.
"""

import asyncio
import contextlib
import select
import socket
from collections.abc import AsyncIterator

import pytest

from cuminhoist.caller_memory import (
    STALL_S,
    CallerMemory,
    ConnectionMemory,
    MemoryLimits,
    Purpose,
)
from tests.waiting import eventually

from .builders import HOST, ScriptedTarget, answer
from .builders_steps import slow_link

pytestmark = [pytest.mark.looptime]

SOUND = b'whole'
#: More than the kernel holds for a caller that does not read.
LARGE = bytes(12_000_000)
#: Bytes a second of a link that needs no pacing.
FAST = 1e9
#: For so long the kernel may hold bytes that it could deliver.
KERNEL_DELAY_S = 0.5


def _script(head: bytes) -> bytes:
    return answer(head, LARGE) if b' /a/0 ' in head else answer(head)


def _fill(memory: CallerMemory) -> None:
    """Hold bytes for another caller, so that memory stays short."""
    memory.limits = MemoryLimits(high_bytes=1_000_000, low_bytes=1_000_000)
    other = ConnectionMemory(memory, lambda: None)
    other.set(Purpose.request_bodies, 1_000_000)


class _SlowCaller:
    """A caller that leaves in the kernel what it does not read.

    :param sock: its socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def request(self, *numbers: int) -> None:
        """Send requests that may be repeated."""
        for number in numbers:
            self._sock.sendall(
                f'GET /a/{number} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'X-Request-Id: id{number}\r\n\r\n'.encode()
            )

    async def read(self, size: int) -> bytes:
        """Return up to so many bytes, none at the end of the connection."""
        # The timers of the kernel do not go by the time of the loop, which
        # would run on while they delay what has been sent.
        select.select((self._sock,), (), (), KERNEL_DELAY_S)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(60):
            return await loop.sock_recv(self._sock, size)

    async def read_steadily(self, piece_bytes: int) -> bytes:
        """Read ten pieces a second; return them once the last answer came."""
        received = bytearray()
        while not received.endswith(SOUND):
            piece = await self.read(piece_bytes)
            assert piece, f'closed after {len(received)} bytes'
            received += piece
            await asyncio.sleep(0.1)
        return bytes(received)


@contextlib.asynccontextmanager
async def _stalled(
    target: ScriptedTarget, *numbers: int
) -> AsyncIterator[tuple[CallerMemory, _SlowCaller]]:
    """Run a gateway whose caller has read nothing of a large answer yet.

    :param target: the target.
    :param numbers: the requests of the caller; the first is answered so.
    """
    options = {'timeout_s': 1000.0, 'link_bytes_per_s': FAST}
    async with slow_link(target, **options) as (harness, _):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            # As on a network: room is told in steps of this size.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
            sock.connect(('127.0.0.1', harness.port))
            sock.setblocking(False)
            caller = _SlowCaller(sock)
            caller.request(*numbers)
            memory = harness.server.server_state.memory
            await eventually(lambda: memory.held[Purpose.unsent_bytes] > 0)
            yield memory, caller


@pytest.mark.parametrize('piece_bytes', [25_000, 5_000])
async def test_caller_that_reads_steadily_is_not_closed(piece_bytes):
    """Guards against a slow link that is taken for a caller that stalls.

    The kernel tells of room only once a large part of its buffer is free, so
    that nothing is taken from the process for seconds.
    """
    target = ScriptedTarget(_script)
    async with _stalled(target, 0, 1) as (memory, caller):
        await eventually(lambda: len(target.heads) == 2)
        _fill(memory)
        received = await caller.read_steadily(piece_bytes)
    assert received.count(b' 200 ') == 2


@pytest.mark.parametrize('piece_bytes', [0, 100])
async def test_caller_that_takes_next_to_nothing_is_closed(piece_bytes):
    """Guards against memory that is held by some bytes now and then."""
    async with _stalled(ScriptedTarget(_script), 0) as (memory, caller):
        _fill(memory)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while not memory.closed_connections:
            if piece_bytes:
                await caller.read(piece_bytes)
            await asyncio.sleep(0.1)
        assert loop.time() - began_at < 2 * STALL_S
