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
from tests.waiting import eventually

from .builders import ScriptedTarget, answer, gateway


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
        await eventually(lambda: ended._consecutive_failures or ended.untried)
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
