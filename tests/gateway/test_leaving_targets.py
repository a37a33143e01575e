"""Tests of an entry instance in front of targets that announce their stop.

They guard against requests that reach a target after the instance has passed
on its announcement, as its caller and the targets see it.
"""

import asyncio
import contextlib
import time

import msgspec

from cuminhoist.fleet.entry_instance import EntryInstance
from cuminhoist.fleet.messages import TargetList
from cuminhoist.gateway.routes import RouteTable
from cuminhoist.platform.requests import PlatformWire
from cuminhoist.steering.leaving_targets import LeavingTarget
from tests.fleet.builders import instance_config
from tests.steering.builders import target

from .builders import HOST, SERVICE, ScriptedTarget, answer, route, served


def _leaving(head):
    return answer(head, server_leaving='1')


class _Instance:
    """An entry instance without links, in front of scripted targets."""

    def __init__(self, servers, **changes):
        config = msgspec.structs.replace(
            instance_config('e0'), operator_address=None
        )
        self.entry = EntryInstance(
            config, None, None, PlatformWire(), time.monotonic
        )
        self._servers = servers
        self.listed = ()
        self.proxy = self.entry.request_proxy
        self.proxy.routing_state.routes = RouteTable(
            1, {HOST: (route(**changes),)}, {}
        )

    async def list_targets(self):
        """Apply a list with all targets as ready, named t0, t1 and so on."""
        self.listed = self.listed or tuple(
            [
                target(
                    f't{index}', service=SERVICE, address=await server.start()
                )
                for index, server in enumerate(self._servers)
            ]
        )
        self.entry.feed.apply_list(TargetList(age_s=0, targets=self.listed))


@contextlib.asynccontextmanager
async def _instance(*servers, **changes):
    instance = _Instance(servers, **changes)
    await instance.list_targets()
    async with served(instance.proxy) as harness:
        yield instance, harness
    for server in servers:
        server.stop()


async def _request_each(harness, numbers):
    return [
        await harness.request(request_id=f'id{number}') for number in numbers
    ]


async def test_nothing_is_sent_after_the_announcement():
    """Guards against sending on while the list shows the target as ready."""
    first, second = ScriptedTarget(_leaving), ScriptedTarget(answer)
    async with _instance(first, second) as (instance, harness):
        await _request_each(harness, range(6))
        await asyncio.sleep(0.02)
        await instance.list_targets()
        answers = await _request_each(harness, range(6, 12))
    assert len(first.heads) == 1
    assert all(text.startswith(b'HTTP/1.1 200') for text in answers)


async def test_running_requests_of_a_leaving_target_are_completed():
    """Guards against cutting answers of a target that still works."""
    release = asyncio.Event()
    target_server = ScriptedTarget(answer)

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        await asyncio.wait_for(release.wait(), 5)
        writer.write(_leaving(head))

    target_server._serve = serve
    async with _instance(target_server) as (instance, harness):
        running = asyncio.create_task(harness.request())
        while not instance.entry.placement_client.running_attempts:
            await asyncio.sleep(0.01)
        instance.proxy.on_target_leaving(LeavingTarget('t0'), 'other')
        release.set()
        received = await running
    assert received.endswith(b'whole')


async def test_grant_from_before_the_announcement_is_not_used():
    """Guards against a grant that crosses the announcement on its way."""
    servers = [ScriptedTarget(answer), ScriptedTarget(answer)]
    async with _instance(*servers) as (instance, harness):
        client = instance.entry.placement_client
        place, granted = client.request_placement, []

        async def crossing(req):
            decision, decider = await place(req)
            granted.append(decision.target)
            if len(granted) == 1:
                announced = LeavingTarget(decision.target)
                instance.proxy.on_target_leaving(announced, 'other')
            return decision, decider

        client.request_placement = crossing
        received = await harness.request()
    assert received.startswith(b'HTTP/1.1 200')
    leaving = servers[int(granted[0][1:])]
    assert len(granted) == 2
    assert not leaving.heads
