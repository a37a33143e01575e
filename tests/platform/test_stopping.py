"""Requests that reach an entry instance around a SIGTERM.

The tests guard against requests that are broken off at work in a target, and
against refusals that are not true, or that come only at the end.
"""

import asyncio
import contextlib
import time
import types

import pytest

from cuminhoist.fleet.instance_config import (
    Address,
    DeploymentLimits,
    InstanceConfig,
)
from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.gateway.stop_window import MIN_COUNT
from cuminhoist.platform.daemon import Daemon
from tests.gateway.builders import (
    HOST,
    HeldDispatcher,
    ScriptedTarget,
    answer,
    gateway,
)
from tests.gateway.builders_steps import ALL, StepTarget
from tests.waiting import eventually

#: Longer than most grace periods of these tests, in milliseconds.
DEADLINE_MS = 8_000
_LATE = {'timeout_s': 8.0, 'objective_s': 6.0}


def _daemon(grace_s: float, now=time.monotonic) -> Daemon:
    unused = Address('127.0.0.1', 1)
    return Daemon(
        InstanceConfig(
            name='entry-a',
            domain='z',
            region='r',
            regions={'z': 'r'},
            peer_address=unused,
            seeds=(),
            first_start=True,
            data_folder='',
            request_address=None,
            readiness_address=None,
            operator_address=None,
            lookup_address=None,
            metrics_address=unused,
            target_list_address=unused,
            list_calls_per_s=1,
            limits=DeploymentLimits(stop_grace_s=grace_s),
        ),
        now,
    )


@contextlib.asynccontextmanager
async def _stopping(harness, grace_s: float, now=time.monotonic):
    """Drain a gateway as after a SIGTERM, and yield the task of the drain."""
    entry = types.SimpleNamespace(request_proxy=harness.proxy)
    daemon = _daemon(grace_s, now)
    drain = asyncio.create_task(daemon._drain(entry, harness.server))
    await asyncio.sleep(0)
    try:
        yield drain
    finally:
        drain.cancel()
        await asyncio.gather(drain, return_exceptions=True)


@pytest.mark.parametrize('repeat', [RepeatPolicy.once, RepeatPolicy.idempotent])
async def test_request_that_may_outlast_the_grace_is_refused(repeat):
    """Guards against a request that the end of the process breaks off."""
    target = ScriptedTarget(lambda _head: None)
    async with gateway(target, **_LATE, repeat=repeat) as harness:
        async with _stopping(harness, grace_s=3):
            received = await harness.request(deadline_ms=DEADLINE_MS)
    head = received.partition(b'\r\n\r\n')[0].lower()
    assert head.startswith(b'http/1.1 503')
    assert b'retry-after' in head
    assert b'connection: close' in head
    assert not target.heads


async def test_request_whose_deadline_fits_is_served():
    """Guards against refusing callers whose look-up names the instance."""
    async with gateway(ScriptedTarget(answer)) as harness:
        async with _stopping(harness, grace_s=30):
            received = await harness.request(deadline_ms=1000)
    assert received.startswith(b'HTTP/1.1 200')


async def test_request_of_a_fast_service_is_served_early_in_the_stop():
    """Guards against refusing most callers whose look-up is some s old."""
    target = ScriptedTarget(answer)
    async with gateway(target, **_LATE) as harness:
        for _ in range(MIN_COUNT):
            await harness.request(deadline_ms=DEADLINE_MS)
        async with _stopping(harness, grace_s=6):
            received = await harness.request(deadline_ms=DEADLINE_MS)
    assert received.startswith(b'HTTP/1.1 200')


def _request() -> bytes:
    return (
        f'GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: id1\r\n\r\n'
    ).encode()


async def test_request_on_a_kept_connection_is_refused_or_not_read():
    """Guards against requests on open connections that are broken off."""
    target = ScriptedTarget(answer)
    async with gateway(target, **_LATE) as harness:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        writer.write(_request())
        answered = await reader.readuntil(b'whole')
        async with _stopping(harness, grace_s=3):
            writer.write(_request() * 2)
            received = await reader.read()
        writer.close()
    assert answered.startswith(b'HTTP/1.1 200')
    assert received.startswith(b'HTTP/1.1 503')
    assert b'connection: close' in received
    assert received.count(b'HTTP/1.1') == 1
    assert len(target.heads) == 1


async def test_running_request_is_answered_truly_before_the_end():
    """Guards against a 500 of the listener for a request that may have run."""
    target = ScriptedTarget(lambda _head: None)
    async with gateway(target, **_LATE, repeat=RepeatPolicy.once) as harness:
        request = asyncio.create_task(
            harness.request('POST', deadline_ms=DEADLINE_MS)
        )
        await eventually(lambda: bool(target.heads))
        async with _stopping(harness, grace_s=0.6) as drain:
            await drain
            running_at_the_end = harness.proxy.running_requests
            received = await request
    assert not running_at_the_end
    assert received.startswith(b'HTTP/1.1 504')
    assert b'"ran":"unknown"' in received


async def test_answers_behind_a_running_request_are_delivered():
    """Guards against an answer that is lost with the one before it."""
    target = ScriptedTarget(
        lambda head: answer(head) if b'/a/2' in head else None
    )
    heads = [
        f'GET /a/{number} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Request-Id: id{number}\r\n\r\n'.encode()
        for number in (1, 2)
    ]
    async with gateway(target, **_LATE) as harness:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        writer.write(b''.join(heads))
        await eventually(lambda: len(target.heads) == 2)
        async with _stopping(harness, grace_s=0.6) as drain:
            await drain
            running_at_the_end = harness.proxy.running_requests
            received = await reader.read()
        writer.close()
    assert not running_at_the_end
    assert received.startswith(b'HTTP/1.1 504')
    assert b'HTTP/1.1 200' in received
    assert received.endswith(b'whole')


async def test_request_that_waits_for_a_target_is_refused_early():
    """Guards against a refusal that leaves the caller no time to return."""
    held = HeldDispatcher()
    async with gateway(ScriptedTarget(answer), remote=held, **_LATE) as harness:
        request = asyncio.create_task(harness.request(deadline_ms=DEADLINE_MS))
        await eventually(lambda: bool(held.requests))
        async with _stopping(harness, grace_s=6) as drain:
            received = await request
            came_early = not drain.done()
    assert came_early
    assert received.startswith(b'HTTP/1.1 503')
    assert b'"reason":"draining"' in received


async def test_connection_accepted_at_the_end_is_not_served(monkeypatch):
    """Guards against a request that is taken as the process ends.

    Its connection was accepted just before, and is not known to the listener
    when that finds nothing to wait for.
    """
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        server = harness.server
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        await eventually(lambda: server.has_connections)
        connections, close_idle = server._connections, server.close_idle

        def close_and_receive():
            close_idle()
            monkeypatch.setattr(server, '_connections', connections)
            monkeypatch.setattr(server, 'close_idle', close_idle)
            writer.write(
                f'GET /a/x HTTP/1.1\r\nHost: {HOST}\r\n'
                'X-Request-Id: id1\r\n\r\n'.encode()
            )

        monkeypatch.setattr(server, '_connections', list)
        monkeypatch.setattr(server, 'close_idle', close_and_receive)
        async with _stopping(harness, grace_s=0.5) as drain:
            await drain
            assert not server.has_connections
        received = await reader.read()
        writer.close()
    assert received.startswith(b'HTTP/1.1 503')
    assert not target.heads


@pytest.mark.looptime
async def test_resting_connection_does_not_hold_up_the_stop():
    """Guards against processes that only the kill at the end can stop.

    Callers keep connections open for longer than the grace period, and send
    nothing more on them once a look-up names other instances.
    """
    loop = asyncio.get_running_loop()
    target = ScriptedTarget(answer)
    async with gateway(target, now=loop.time) as harness:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        writer.write(_request())
        await reader.readuntil(b'whole')
        grace_s = 6
        kill_at = loop.time() + grace_s
        async with _stopping(harness, grace_s, loop.time) as drain:
            received = await reader.read()
            await drain
        writer.close()
    assert not received
    assert loop.time() < kill_at - grace_s / 3


@pytest.mark.looptime
async def test_running_request_is_answered_after_resting_ones_are_closed():
    """Guards against a stop that ends before a request that can be served."""
    loop = asyncio.get_running_loop()
    target = StepTarget({'/a/x': [(4.0, ALL)]})
    options = {'timeout_s': 4.5, 'now': loop.time}
    async with gateway(target, **options) as harness:
        resting, running = [
            await asyncio.open_connection('127.0.0.1', harness.port)
            for _ in range(2)
        ]
        running[1].write(_request())
        await eventually(lambda: bool(target.heads))
        async with _stopping(harness, 6, loop.time) as drain:
            assert not await resting[0].read()
            assert not drain.done()
            received = await running[0].read()
            await drain
        for _, writer in (resting, running):
            writer.close()
    assert received.startswith(b'HTTP/1.1 200')
