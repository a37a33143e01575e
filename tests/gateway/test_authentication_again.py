"""Tests of requests that wait while a newer configuration comes."""

import asyncio
import contextlib

import pytest

from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.gateway.workspaces import Workspace
from cuminhoist.steering.decisions import Ending
from tests.waiting import eventually

from .builders import (
    HeldDispatcher,
    ScriptedTarget,
    answer,
    bearer,
    gateway,
    header_values,
    relayed_to,
)

OWN = (Workspace('own'), ('secret',))
WITHOUT_KEY = (Workspace('own'), ('spare',))


def _shed(head):
    return answer(head, status='503 Full', x_not_executed='1')


@contextlib.asynccontextmanager
async def _waiting_request(harness, dispatcher, **request):
    """Start a request; it waits for the dispatcher when this returns."""
    caller = asyncio.create_task(
        harness.request(fields=bearer('secret'), **request)
    )
    await eventually(lambda: bool(dispatcher.requests))
    yield caller
    await caller


def _grant(harness, dispatcher, target='t0'):
    harness.proxy._placement_client.handle_decision(dispatcher.grant(target))


@pytest.mark.parametrize('confirmed', [True, False])
async def test_removed_key_is_not_sent_to_a_target(confirmed):
    """Guards against serving a key that was removed while it waited.

    The granted slot is given back, or it would stay reserved.
    """
    target, dispatcher = ScriptedTarget(answer), HeldDispatcher()
    async with gateway(target, remote=dispatcher) as harness:
        harness.set_workspaces(OWN)
        async with _waiting_request(harness, dispatcher) as caller:
            harness.set_workspaces(WITHOUT_KEY)
            harness.proxy.routing_state.routes_confirmed = confirmed
            _grant(harness, dispatcher)
            received = await caller
    assert received.startswith(
        b'HTTP/1.1 401' if confirmed else b'HTTP/1.1 503'
    )
    assert b'"ran":"not-run"' in received
    assert confirmed or b'retry-after: ' in received
    assert not target.heads
    (report,) = dispatcher.reports
    assert report.ending is Ending.withdrawn
    assert report.number == dispatcher.requests[0].number


async def test_kept_key_is_served_by_the_newer_configuration():
    """Guards against a 401 for a key that both configurations allow."""
    target, dispatcher = ScriptedTarget(answer), HeldDispatcher()
    async with gateway(target, remote=dispatcher) as harness:
        harness.set_workspaces(OWN)
        async with _waiting_request(harness, dispatcher) as caller:
            harness.set_workspaces(WITHOUT_KEY, (Workspace('new'), ('secret',)))
            _grant(harness, dispatcher)
            received = await caller
    assert received.startswith(b'HTTP/1.1 200')
    assert header_values(target.heads[0], 'x-tenant') == ['new']


async def test_moved_workspace_is_not_served_in_its_former_region():
    """Guards against a target outside of the new regions of a workspace."""
    target, dispatcher = ScriptedTarget(answer), HeldDispatcher()
    async with gateway(target, remote=dispatcher) as harness:
        harness.set_workspaces(OWN)
        async with _waiting_request(harness, dispatcher):
            elsewhere = Workspace('own', allowed_regions=frozenset('x'))
            harness.set_workspaces((elsewhere, ('secret',)))
            _grant(harness, dispatcher)
            await eventually(lambda: len(dispatcher.requests) > 1)
    assert dispatcher.requests[-1].allowed_regions == frozenset('x')
    assert not target.heads
    assert dispatcher.reports[0].ending is Ending.withdrawn


@pytest.mark.parametrize(
    ('script', 'expected'), [(_shed, b'401'), (lambda head: b'', b'502')]
)
async def test_removed_key_is_not_sent_to_a_second_target(script, expected):
    """Guards against a retry for a key that is not allowed any more.

    A request that may have run is not answered as one that has not.
    """
    first, second = ScriptedTarget(script), ScriptedTarget(answer)
    dispatcher = HeldDispatcher()
    async with gateway(first, second, remote=dispatcher) as harness:
        harness.set_workspaces(OWN)
        async with _waiting_request(harness, dispatcher) as caller:
            _grant(harness, dispatcher)
            await eventually(lambda: len(dispatcher.requests) > 1)
            harness.set_workspaces(WITHOUT_KEY)
            _grant(harness, dispatcher, 't1')
            received = await caller
    assert received.startswith(b'HTTP/1.1 ' + expected)
    assert len(first.heads) == 1
    assert not second.heads


async def test_failed_answer_is_kept_when_the_key_is_removed():
    """Guards against replacing the answer of a target that ran the request."""

    def fail(head):
        return answer(head, b'failed', status='500 Failed')

    first, second = ScriptedTarget(fail), ScriptedTarget(answer)
    dispatcher = HeldDispatcher()
    async with gateway(first, second, remote=dispatcher) as harness:
        harness.set_workspaces(OWN)
        async with _waiting_request(harness, dispatcher) as caller:
            _grant(harness, dispatcher)
            await eventually(lambda: len(dispatcher.requests) > 1)
            harness.set_workspaces(WITHOUT_KEY)
            _grant(harness, dispatcher, 't1')
            received = await caller
    assert received.startswith(b'HTTP/1.1 500')
    assert not second.heads


async def test_key_that_is_trusted_no_more_is_not_sent():
    """Guards against a key that waited until its instance lost contact."""
    target, dispatcher = ScriptedTarget(answer), HeldDispatcher()
    async with gateway(target, remote=dispatcher) as harness:
        harness.set_workspaces(OWN)
        async with _waiting_request(harness, dispatcher) as caller:
            harness.proxy.routing_state.trusts_keys = lambda: False
            _grant(harness, dispatcher)
            received = await caller
    assert received.startswith(b'HTTP/1.1 503')
    assert not target.heads


async def test_first_workspaces_bind_a_request_that_waits():
    """Guards against a key at a target once the keys are the deployment's."""
    target, dispatcher = ScriptedTarget(answer), HeldDispatcher()
    async with gateway(target, remote=dispatcher) as harness:
        async with _waiting_request(harness, dispatcher) as caller:
            harness.set_workspaces(OWN)
            _grant(harness, dispatcher)
            received = await caller
    assert received.startswith(b'HTTP/1.1 200')
    assert header_values(target.heads[0], 'x-tenant') == ['own']
    assert b'secret' not in target.heads[0]


async def test_configuration_without_workspaces_serves_those_that_wait():
    """Guards against refusing callers as the last workspace goes."""
    target, dispatcher = ScriptedTarget(answer), HeldDispatcher()
    async with gateway(target, remote=dispatcher) as harness:
        routes = harness.proxy.routing_state.routes
        harness.set_workspaces(OWN)
        async with _waiting_request(harness, dispatcher) as caller:
            harness.proxy.routing_state.replace_routes(routes)
            _grant(harness, dispatcher)
            received = await caller
    assert received.startswith(b'HTTP/1.1 200')


async def test_request_that_waits_for_its_body_is_authenticated_again():
    """Guards against placing a request whose key was removed meanwhile."""
    target, dispatcher = ScriptedTarget(answer), HeldDispatcher()
    async with gateway(
        target, remote=dispatcher, repeat=RepeatPolicy.once
    ) as harness:
        harness.set_workspaces(OWN)
        async with harness.connection() as stream:
            sending = asyncio.create_task(
                stream.send(*bearer('secret'), 'Content-Length: 4')
            )
            await eventually(lambda: harness.proxy.running_requests == 1)
            harness.set_workspaces(WITHOUT_KEY)
            stream.write(b'body')
            received = await sending
    assert received.startswith(b'HTTP/1.1 401')
    assert not dispatcher.requests


async def test_removed_key_is_not_relayed():
    """Guards against another instance that serves a key removed here."""
    target = ScriptedTarget(answer)
    async with (
        gateway(ScriptedTarget(answer)) as cut,
        gateway(target) as other,
        relayed_to(cut, other),
    ):
        cut.set_workspaces(OWN)
        other.set_workspaces(OWN)
        cut.proxy.reachability.is_cut = True
        async with cut.connection() as stream:
            sending = asyncio.create_task(
                stream.send(*bearer('secret'), 'Content-Length: 4')
            )
            await eventually(lambda: cut.proxy.running_requests == 1)
            cut.set_workspaces(WITHOUT_KEY)
            stream.write(b'body')
            received = await sending
    assert received.startswith(b'HTTP/1.1 401')
    assert not target.heads
