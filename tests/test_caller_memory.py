"""The bound on memory that is held for callers.

The tests guard against a process that ends for lack of memory because callers
do not read, and against closing connections whose callers do.
"""

import asyncio

import pytest

from cuminhoist.caller_memory import (
    STALL_S,
    CallerMemory,
    ConnectionMemory,
    MemoryLimits,
    Purpose,
)

from .gateway.builders import ScriptedTarget, answer, gateway
from .waiting import eventually


def _memory(**limits) -> CallerMemory:
    return CallerMemory(MemoryLimits(**limits))


def test_marks_are_derived_from_the_memory_of_the_process():
    """Guards against bounds that only fit one size of machine."""
    limits = MemoryLimits.from_memory(200e6)
    assert limits.low_bytes < limits.high_bytes < 100e6
    assert limits.waiting_answers_bytes < limits.high_bytes
    assert MemoryLimits.from_memory(400e6).high_bytes == 2 * limits.high_bytes


async def test_refusals_stop_only_below_the_low_mark():
    """Guards against accepting and refusing in turns at one mark."""
    memory = _memory(high_bytes=100, low_bytes=50)
    conn = ConnectionMemory(memory, lambda: None)
    conn.set(Purpose.request_bodies, 99)
    assert not memory.is_full
    conn.set(Purpose.request_bodies, 100)
    assert memory.is_full
    conn.set(Purpose.request_bodies, 50)
    assert memory.is_full
    conn.set(Purpose.request_bodies, 49)
    assert not memory.is_full


async def test_connection_that_holds_most_is_closed_first():
    """Guards against closing many connections where one suffices."""
    memory = _memory(high_bytes=100, low_bytes=50)
    closed = []
    conns = {}
    for name, size in (('small', 10), ('large', 60), ('reads', 70)):
        conns[name] = ConnectionMemory(
            memory, lambda name=name: closed.append(name)
        )
        conns[name].set(Purpose.unsent_bytes, size)
    for name in ('small', 'large'):
        memory.note_stall(conns[name], stalled=True)
    await asyncio.sleep(0.1)
    assert not closed
    await eventually(lambda: bool(closed))
    assert closed == ['large', 'small']
    assert memory.closed_connections == 2


async def test_wait_for_room_ends_for_all_as_bytes_are_released():
    """Guards against a reader that waits for ever."""
    memory = _memory(waiting_answers_bytes=100)
    conn = ConnectionMemory(memory, lambda: None)
    conn.add_answer_bytes(150)
    waits = [asyncio.create_task(conn.wait_for_room()) for _ in range(5)]
    await asyncio.sleep(0)
    waits[0].cancel()
    for _ in range(4):
        conn.add_answer_bytes(-100)
        await asyncio.sleep(0.01)
        conn.add_answer_bytes(10)
    async with asyncio.timeout(1):
        await asyncio.gather(*waits[1:])


async def test_callers_that_do_not_read_are_closed_and_others_served():
    """Guards against a process that ends for one group of its callers."""
    body = b'b' * 24_000_000
    target = ScriptedTarget(lambda head: answer(head, body))
    targets = [ScriptedTarget(target._script) for _ in range(5)]
    async with gateway(*targets, timeout_s=20.0) as harness:
        memory = harness.server.server_state.memory
        memory.limits = MemoryLimits(high_bytes=1_500_000, low_bytes=1_000_000)
        stalled = []
        for _ in range(14):
            _, writer = conn = await asyncio.open_connection(
                '127.0.0.1', harness.port, limit=2**10
            )
            writer.write(
                b'GET /a/x HTTP/1.1\r\nHost: shop.example\r\n'
                b'X-Request-Id: id1\r\n\r\n'
            )
            stalled.append(conn)
        await eventually(lambda: memory.is_full)
        refused = await harness.request()
        assert refused.startswith(b'HTTP/1.1 503 ')
        assert b'memory-full' in refused
        assert b'not-run' in refused
        await eventually(lambda: not memory.is_full)
        assert memory.closed_connections
        received = await harness.request(deadline_ms=5000)
        assert received.endswith(body)
        for _, writer in stalled:
            writer.transport.abort()
        await eventually(lambda: not harness.proxy.running_requests)
        assert not sum(memory.held.values())


async def test_body_that_waits_counts():
    """Guards against memory that fills with bodies of held requests."""
    async with gateway(ScriptedTarget(lambda _head: None)) as harness:
        memory = harness.server.server_state.memory
        _, writer = await asyncio.open_connection('127.0.0.1', harness.port)
        writer.write(
            b'POST /a/x HTTP/1.1\r\nHost: shop.example\r\n'
            b'Content-Length: 50000\r\n\r\n' + b'b' * 40_000
        )
        await eventually(lambda: memory.held[Purpose.request_bodies] == 40_000)
        writer.transport.abort()
        await eventually(lambda: not memory.held[Purpose.request_bodies])


@pytest.mark.looptime
async def test_bodies_that_stop_hold_the_memory():
    """Guards against refusals of all callers while some bodies stop."""
    memory = CallerMemory(MemoryLimits(high_bytes=100, low_bytes=50))
    closed = []
    stopped, sending = (
        ConnectionMemory(memory, lambda name=name: closed.append(name))
        for name in ('stopped', 'sending')
    )
    for conn in (stopped, sending):
        conn.set(Purpose.request_bodies, 60)
        memory.note_arriving(conn, arriving=True)
    await asyncio.sleep(STALL_S * 0.9)
    memory.note_arriving(sending, arriving=True)
    await asyncio.sleep(STALL_S * 0.5)
    assert closed == ['stopped']


@pytest.mark.looptime
async def test_stalled_caller_that_holds_most_is_closed():
    """Guards against unread answers that keep connections to targets."""
    memory = CallerMemory(MemoryLimits())
    closed = []
    conns = [
        ConnectionMemory(memory, lambda size=size: closed.append(size))
        for size in (10, 30, 20)
    ]
    for conn, size in zip(conns, (10, 30, 20), strict=True):
        conn.set(Purpose.unsent_bytes, size)
        memory.note_stall(conn, stalled=True)
    memory.close_stalled()
    assert not closed
    await asyncio.sleep(STALL_S)
    memory.note_stall(conns[2], stalled=False)
    for _ in range(3):
        memory.close_stalled()
    assert closed == [30, 10]
