"""Pipelined requests of callers at the gateway and its targets."""

import asyncio
import contextlib

from cuminhoist.caller_memory import MemoryLimits, Purpose
from cuminhoist.exchange import HIGH_WATER_BYTES
from cuminhoist.gateway import request_recorder
from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.pipelined_request import REQUEST_BYTES
from tests.waiting import eventually

from .builders import HOST, GatewayHarness, ScriptedTarget, answer, gateway
from .builders import header as header_of


def _get(number: int) -> bytes:
    return (
        f'GET /a/{number} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Request-Id: id{number}\r\n\r\n'
    ).encode()


async def _connect(harness: GatewayHarness):
    return await asyncio.open_connection('127.0.0.1', harness.port)


async def _read_answer(reader) -> tuple[bytes, bytes]:
    async with asyncio.timeout(10):
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(header_of(head, 'content-length'))
        return head, await reader.readexactly(length)


class GatedTarget(ScriptedTarget):
    """Holds the answer to the first request until its gate opens.

    :param body: body of the other answers.
    """

    def __init__(self, body: bytes = b'whole') -> None:
        super().__init__(lambda head: answer(head, body))
        self.gate = asyncio.Event()
        #: Answers that have been passed to the kernel completely.
        self.sent = 0
        #: Whether the connection is closed before the last byte of answers.
        self.cuts_answers = False

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.heads.append(head)
                if b'/a/0 ' in head:
                    gate = asyncio.create_task(self.gate.wait())
                    closed = asyncio.create_task(reader.read(1))
                    await asyncio.wait(
                        (gate, closed), return_when=asyncio.FIRST_COMPLETED
                    )
                    if not gate.done():
                        break
                    closed.cancel()
                    await asyncio.gather(closed, return_exceptions=True)
                encoded = self._script(head)
                writer.write(encoded[:-1] if self.cuts_answers else encoded)
                await writer.drain()
                if self.cuts_answers:
                    break
                self.sent += 1
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass
        self.closed_connections += 1
        writer.close()


async def test_requests_reach_targets_concurrently():
    """Guards against requests that wait for the answers before them."""
    target = GatedTarget()
    async with gateway(target, timeout_s=5.0) as harness:
        reader, writer = await _connect(harness)
        writer.write(_get(0) + _get(1) + _get(2))
        await eventually(lambda: len(target.heads) == 3)
        target.gate.set()
        for number in range(3):
            head, body = await _read_answer(reader)
            assert header_of(head, 'x-request-id') == f'id{number}'
            assert body == b'whole'
        writer.close()


async def test_one_time_requests_reach_targets_one_after_the_other():
    """Guards against a second run whose caller may never learn of it."""
    target = GatedTarget()
    async with gateway(
        target, timeout_s=5.0, repeat=RepeatPolicy.once
    ) as harness:
        reader, writer = await _connect(harness)
        writer.write(_get(0) + _get(1))
        await eventually(lambda: len(target.heads) == 1)
        await asyncio.sleep(0.1)
        assert len(target.heads) == 1
        target.gate.set()
        await _read_answer(reader)
        await _read_answer(reader)
        writer.close()


async def test_one_time_request_does_not_start_after_a_cut_answer():
    """Guards against a run behind an answer that ends the connection."""
    target = GatedTarget(b'b' * 300_000)
    target.cuts_answers = True
    target.gate.set()
    async with gateway(
        target, timeout_s=5.0, repeat=RepeatPolicy.once
    ) as harness:
        reader, writer = await _connect(harness)
        writer.write(_get(0) + _get(1))
        async with asyncio.timeout(5):
            with contextlib.suppress(ConnectionError):
                received = await reader.read()
                assert received.count(b'HTTP/1.1 ') <= 1
        await asyncio.sleep(0.1)
        writer.close()
    assert len(target.heads) == 1


async def test_large_answer_is_read_while_it_waits(monkeypatch):
    """Guards against a target that aborts an answer that stays unread.

    The connection to the target is free again before the answer is sent.
    """
    lines = []
    monkeypatch.setattr(
        request_recorder, 'log_request', lambda **line: lines.append(line)
    )
    body = b'b' * 900_000
    target = GatedTarget(body)
    async with gateway(target, timeout_s=5.0) as harness:
        reader, writer = await _connect(harness)
        writer.write(_get(0) + _get(1))
        await eventually(lambda: target.sent == 1)
        pools = harness.proxy._attempt_sender._connections._pools
        await eventually(lambda: any(pool.idle for pool in pools.values()))
        memory = harness.server.server_state.memory
        for_requests = memory.held[Purpose.requests]
        assert for_requests >= 2 * REQUEST_BYTES
        assert sum(memory.held.values()) - for_requests == len(body)
        target.gate.set()
        for _ in range(2):
            assert (await _read_answer(reader))[1] == body
        await eventually(lambda: len(lines) == 2)
        assert not sum(memory.held.values())
        writer.close()
    assert lines[0]['turn_wait_ms'] == 0
    assert lines[1]['turn_wait_ms'] > 0


async def test_answers_past_the_bounds_stay_at_the_target():
    """Guards against memory that fills with answers that wait, and loss."""
    body = b'b' * 16_000_000
    target = GatedTarget(body)
    async with gateway(target, timeout_s=10.0) as harness:
        memory = harness.server.server_state.memory
        memory.limits = MemoryLimits(
            waiting_answers_bytes=300_000, connection_bytes=200_000
        )
        callers = [await _connect(harness) for _ in range(2)]
        for _, writer in callers:
            writer.write(_get(0) + _get(1))
        await eventually(lambda: len(target.heads) == 4)
        await asyncio.sleep(0.3)
        # Each reader may go beyond the bound by the chunk that it reads.
        held = memory.held
        assert held[Purpose.waiting_answers] < 300_000 + 2 * 262_144
        bound = 2 * (HIGH_WATER_BYTES + 262_144)
        assert held[Purpose.passing_answers] < bound
        assert not target.sent
        target.gate.set()
        for reader, writer in callers:
            for _ in range(2):
                assert (await _read_answer(reader))[1] == body
            writer.close()


async def test_disconnect_withdraws_all_requests_from_targets(monkeypatch):
    """Guards against slots that work for a caller that has gone."""
    lines = []
    monkeypatch.setattr(
        request_recorder, 'log_request', lambda **line: lines.append(line)
    )
    target = GatedTarget(b'b' * 30_000_000)
    async with gateway(target, timeout_s=5.0) as harness:
        _, writer = await _connect(harness)
        writer.write(_get(0) + _get(1) + _get(2))
        await eventually(lambda: len(target.heads) == 3)
        writer.transport.abort()
        await eventually(lambda: target.closed_connections == 3)
        await eventually(lambda: not harness.proxy.running_requests)
        metrics = harness.proxy._metrics.render().decode()
        assert not sum(harness.server.server_state.memory.held.values())
    assert {line['withdrawn'] for line in lines} == {'caller-disconnected'}
    assert sorted(line['ahead'] for line in lines) == [0, 1, 2]
    labels = 'cause="caller-disconnected",sent="true",service="svc"'
    assert f'cuminhoist_withdrawn_requests_total{{{labels}}} 3.0' in metrics
