"""Tests of requests that are forwarded to another entry instance.

They guard against data lost on the hop, and against a request that may have run
but is reported as not run, so that a retry would run it twice.
"""

import msgspec
import pytest
from litestar import Litestar
from returns.result import Failure, Success

from cuminhoist.caller_api import services_handler
from cuminhoist.clock import SystemClock
from cuminhoist.hop_signing import HopRequest, HopSigner
from cuminhoist.peer_client import PeerClient, origin_hop
from cuminhoist.problems import Refusal
from cuminhoist.slots import SlotOutcome
from cuminhoist.target_client import Answer, Attempt
from cuminhoist.types import Ran, Reason

from . import builders
from .builders_carry import RawServer, RunningServer

ORIGIN = origin_hop('entry-1', 'domain-1', 'region-1')
ROUTE = HopRequest('PUT', '/catalogue/a%2F?b=1', 'acme')
REFUSALS = [
    Refusal(
        ran=Ran.not_run,
        reason=Reason.no_slot,
        detail='Full.',
        plan='gold',
        retry_after_ms=250,
    ),
    Refusal(ran=Ran.unknown, reason=Reason.target_lost),
]


async def body():
    yield b'abc'


async def send(port, slot_outcomes):
    clock = SystemClock()
    client = PeerClient(HopSigner('key', 'entry-1', clock), clock)
    peer = msgspec.structs.replace(
        builders.example_topology().instances[0],
        name='entry-2',
        host='127.0.0.1',
        http_port=port,
    )
    headers = [(b'x-cuminhoist-caller', b'acme'), (b'content-length', b'3')]
    attempt = Attempt(
        ROUTE.method,
        '/a%2F?b=1',
        headers,
        body(),
        5.0,
        lambda outcome, _latency: slot_outcomes.append(outcome),
        '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01',
    )
    try:
        outcome = await client.send(peer, ROUTE, ORIGIN, attempt)
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            return answer, b''.join([chunk async for chunk in answer.body])
        return outcome.failure(), b''
    finally:
        await client.close()


def peer_server(serve):
    class Entry:
        async def serve(self, req):
            return await serve(req)

    hops = HopSigner('key', 'entry-2', SystemClock())
    return RunningServer(
        Litestar([services_handler(Entry(), hops)], openapi_config=None)
    )


async def test_answer_and_hop_pass():
    """Guards against a hop that loses the body or the origin of a request."""
    hops = []

    async def serve(req):
        named = dict(req.headers)
        assert named[b'traceparent'].startswith(b'00-0af7651916cd43dd84')
        assert 0 < req.deadline_s <= 5
        hops.append((req.hop.origin, req.hop.domain, req.hop.region, req.path))
        content = b''.join([chunk async for chunk in req.body])

        async def echo():
            yield content

        forged = [(b'x-cuminhoist-refusal', b'1')]
        return Success(Answer(500, forged, echo()))

    slot_outcomes = []
    async with peer_server(serve) as server:
        answer, content = await send(server.port, slot_outcomes)
    assert (answer.status, content) == (500, b'abc')
    assert hops == [('entry-1', 'domain-1', 'region-1', '/a%2F?b=1')]
    assert slot_outcomes == [SlotOutcome.failed]


@pytest.mark.parametrize('refusal', REFUSALS)
async def test_refusal_of_the_peer_is_typed(refusal):
    """Guards against a refusal that is altered on its way to the caller."""

    async def serve(req):
        return Failure(refusal)

    slot_outcomes = []
    async with peer_server(serve) as server:
        refused, _ = await send(server.port, slot_outcomes)
    assert refused == refusal
    not_run = refusal.ran == Ran.not_run
    assert slot_outcomes == [
        SlotOutcome.not_run if not_run else SlotOutcome.unknown
    ]


async def test_lost_peer_is_unknown():
    """Guards against ``not-run`` where a failed peer may have run a request."""

    async def script(server, reader, writer):
        await server.head(reader)

    slot_outcomes = []
    async with RawServer(script) as server:
        refused, _ = await send(server.port, slot_outcomes)
    assert refused.ran == Ran.unknown
    assert slot_outcomes == [SlotOutcome.unknown]
    refused, _ = await send(builders.free_ports(1)[0], slot_outcomes)
    assert refused.ran == Ran.not_run
    assert slot_outcomes[1:] == [SlotOutcome.not_run]
