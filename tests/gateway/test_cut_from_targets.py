"""Tests of entry instances that reach no target.

They guard against callers who are refused although another instance reaches
targets, and against targets that are ejected for all because one instance is
cut off.
"""

import asyncio
import contextlib
import socket

import pytest

from cuminhoist.fleet.instance_config import Address
from cuminhoist.gateway.pacing import LinkPacer
from cuminhoist.gateway.relay import relay_app
from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.gateway.target_connections import TargetConnections
from cuminhoist.steering.targets import TargetEntry, TargetState
from tests.waiting import eventually

from .builders import (
    ScriptedTarget,
    answer,
    gateway,
    header,
    relayed_to,
)

ONCE = RepeatPolicy.once


class HangingTarget(ScriptedTarget):
    """A target whose host drops the packets that open a connection."""

    async def start(self):
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        address = self._listener.getsockname()
        # The kernel drops further packets once the queue of the listener is
        # full.
        self._fillers = [socket.socket() for _ in range(3)]
        for filler in self._fillers:
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(address)
        return Address(*address)

    def stop(self):
        for sock in (*self._fillers, self._listener):
            sock.close()


class RefusingTarget(ScriptedTarget):
    """A target that refuses connections."""

    async def start(self):
        address = await super().start()
        self.stop()
        return address


class ResettingTarget(ScriptedTarget):
    """A target whose connections are reset at once."""

    async def _serve(self, reader, writer):
        writer.transport.abort()


def _target():
    return ScriptedTarget(answer)


@pytest.mark.parametrize(
    'make_target', [HangingTarget, RefusingTarget, ResettingTarget]
)
@pytest.mark.parametrize('repeat', list(RepeatPolicy))
async def test_callers_of_a_cut_instance_were_refused(make_target, repeat):
    """Guards against a cut instance that fails its callers (RECOVER)."""
    whole = _target()
    targets = [make_target(lambda head: None) for _ in range(4)]
    async with (
        gateway(*targets, repeat=repeat) as cut,
        gateway(whole, repeat=repeat) as other,
        relayed_to(cut, other),
    ):
        await cut.request(request_id='first')
        await eventually(lambda: cut.proxy.reachability.is_cut)
        for number in range(5):
            received = await cut.request(
                'POST', body=b'content', request_id=f'id{number}'
            )
            assert received.startswith(b'HTTP/1.1 200')
            assert received.endswith(b'whole')
    heads = [header(head, 'x-request-id') for head in whole.heads]
    assert heads[-5:] == [f'id{number}' for number in range(5)]
    assert b'x-cuminhoist' not in b''.join(whole.heads)
    assert whole.bodies[-5:] == [b'content'] * 5


async def test_request_that_may_have_run_is_not_passed_on():
    """Guards against a one-time request that runs twice through a relay."""
    whole = _target()
    targets = []

    def cut_off(_head):
        for target in targets:
            target.stop()
        return b''

    targets.extend(ScriptedTarget(cut_off) for _ in range(2))
    async with (
        gateway(*targets, repeat=ONCE) as cut,
        gateway(whole, repeat=ONCE) as other,
        relayed_to(cut, other),
    ):
        received = await cut.request('POST', body=b'once')
        assert received.startswith(b'HTTP/1.1 502')
    assert not whole.heads


async def test_request_is_passed_on_once():
    """Guards against requests that cut instances send to each other."""
    async with (
        gateway(RefusingTarget(answer)) as first,
        gateway(RefusingTarget(answer)) as second,
        relayed_to(first, second),
        relayed_to(second, first),
    ):
        received = await first.request()
        assert received.startswith(b'HTTP/1.1 503')
        assert b'not-run' in received


async def test_caller_of_a_relayed_request_is_kept():
    """Guards against callers of one relay that are taken for one caller."""
    callers = []

    async def serve(scope, receive, send):
        callers.append(scope['client'][0])
        await send({'type': 'http.response.start', 'status': 204})
        await send({'type': 'http.response.body', 'body': b''})

    headers = [
        (b'x-cuminhoist-relayed-for', b'10.9.9.9'),
        (b'host', b'shop.example'),
        (b'x-cuminhoist-relayed-for', b'10.0.0.1'),
    ]
    scope = {'headers': headers, 'client': ('10.0.0.2', 1), 'state': {}}

    async def ignore(_event):
        pass

    await relay_app(serve)(scope, None, ignore)
    assert callers == ['10.0.0.1']
    assert scope['headers'] == headers[:2]


@pytest.mark.parametrize('make_target', [HangingTarget, RefusingTarget])
async def test_cut_instance_ejected_targets_for_all(make_target):
    """Guards against targets that one cut instance takes from the others."""
    targets = [make_target(lambda head: None) for _ in range(4)]
    async with gateway(*targets) as cut:
        for number in range(4):
            await cut.request(request_id=f'id{number}', deadline_ms=600)
        await asyncio.sleep(0.2)
        now = asyncio.get_running_loop().time()
        queue = cut.dispatcher.queue('svc')
        assert not any(
            target.is_ejected(now) for target in queue.targets.values()
        )


async def test_ended_target_is_ejected():
    """Guards against a check that hides the end of a single target."""
    targets = [RefusingTarget(answer), _target()]
    async with gateway(*targets, max_targets=1) as harness:
        for number in range(4):
            await harness.request(request_id=f'id{number}')
        queue = harness.dispatcher.queue('svc')
        ended = queue.targets['t0']
        await eventually(
            lambda: ended._ejection._consecutive_failures or ended.untried
        )
        assert not harness.proxy.reachability.is_cut


async def test_instance_notices_the_end_of_a_cut():
    """Guards against an instance that relays for ever."""
    target = RefusingTarget(answer)
    async with gateway(target) as harness:
        await harness.request()
        await eventually(lambda: harness.proxy.reachability.is_cut)
        entry = harness.proxy.routing_state.targets['t0']
        restarted = await asyncio.start_server(
            target._serve, entry.address.host, entry.address.port
        )
        await eventually(lambda: not harness.proxy.reachability.is_cut)
        received = await harness.request(request_id='id2')
        assert received.startswith(b'HTTP/1.1 200')
        restarted.close()


async def test_socket_that_cannot_be_opened_is_an_outcome():
    """Guards against a check that ends with an error and is never repeated."""
    connections = TargetConnections(
        asyncio.get_running_loop().time,
        LinkPacer(float('inf'), asyncio.get_running_loop().time),
        source_host='192.0.2.1',
    )
    target = TargetEntry(
        name='t',
        service='svc',
        address=Address('127.0.0.1', 1),
        domain='z',
        slots=1,
        state=TargetState.ready,
    )
    assert not await connections.can_connect(target)
