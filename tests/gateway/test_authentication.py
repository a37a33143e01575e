"""Tests of keys and workspaces at one entry instance."""

import pytest

from cuminhoist.gateway.workspaces import Workspace, WorkspaceTable

from .builders import (
    ScriptedTarget,
    answer,
    bearer,
    gateway,
    header,
    header_values,
)

OWN = (Workspace('own'), ('secret', 'spare'))
OTHER = (Workspace('other'), ('third',))


async def test_target_gets_the_workspace_instead_of_the_key():
    """Guards against a target that sees a key or a forged workspace."""
    target = ScriptedTarget(answer)
    forged = ('X-Tenant: other', 'x-tenant: other', 'X-TENANT: third')
    async with gateway(target) as harness:
        harness.set_workspaces(OWN, OTHER)
        for api_key in ('secret', 'spare'):
            received = await harness.request(fields=(*bearer(api_key), *forged))
            assert received.startswith(b'HTTP/1.1 200')
    assert len(target.heads) == 2
    for head in target.heads:
        assert header_values(head, 'x-tenant') == ['own']
        assert b'authorization' not in head.lower()
        assert b'secret' not in head and b'spare' not in head


@pytest.mark.parametrize(
    'fields',
    [
        (),
        bearer('wrong'),
        bearer(''),
        ('Authorization: Basic secret',),
        ('Authorization: secret',),
        (*bearer('secret'), *bearer('secret')),
        (*bearer('secret'), *bearer('third')),
        ('X-Tenant: own',),
    ],
)
async def test_unknown_caller_is_refused_by_the_newest_configuration(fields):
    """Guards against serving a request without exactly one known key.

    An older configuration may lack the key, so that a 401 would be wrong.
    """
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        harness.set_workspaces(OWN, OTHER)
        received = await harness.request(fields=fields)
        assert received.startswith(b'HTTP/1.1 401')
        assert b'www-authenticate: Bearer' in received
        assert b'"ran":"not-run"' in received
        harness.proxy.routing_state.routes_confirmed = False
        received = await harness.request(fields=fields)
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: ' in received
        assert b'"ran":"not-run"' in received
    assert not target.heads


@pytest.mark.parametrize('confirmed', [True, False])
async def test_known_key_is_served_by_any_configuration(confirmed):
    """Guards against refusing callers while no quorum confirms the routes."""
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.set_workspaces(OWN)
        harness.proxy.routing_state.routes_confirmed = confirmed
        for scheme in ('Bearer', 'bearer', 'BEARER '):
            received = await harness.request(
                fields=(f'Authorization: {scheme} secret',)
            )
            assert received.startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    ('fields', 'names'),
    [
        ((), []),
        (bearer('wrong'), []),
        (bearer('secret'), ['own']),
        (('X-Tenant: own',), []),
        ((*bearer('secret'), *bearer('secret')), []),
    ],
)
async def test_anonymous_route_serves_callers_without_a_key(fields, names):
    """Guards against a route for anyone that refuses or trusts a caller."""
    target = ScriptedTarget(answer)
    async with gateway(target, allows_anonymous=True) as harness:
        harness.set_workspaces(OWN)
        received = await harness.request(fields=fields)
        assert received.startswith(b'HTTP/1.1 200')
    assert header_values(target.heads[0], 'x-tenant') == names
    assert b'authorization' not in target.heads[0].lower()


async def test_without_workspaces_nothing_changes():
    """Guards against changes to deployments whose callers need no keys."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        for fields in (bearer('k'), ('X-Tenant: own',), ()):
            received = await harness.request(fields=fields)
            assert received.startswith(b'HTTP/1.1 200')
    with_key, with_name, plain = target.heads
    assert header(with_key, 'authorization') == 'Bearer k'
    assert header_values(with_name, 'x-tenant') == ['own']
    assert not header_values(plain, 'x-tenant')


async def test_empty_list_of_workspaces_admits_no_key():
    """Guards against taking an empty list for a missing one."""
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.set_workspaces()
        received = await harness.request(fields=bearer('secret'))
    assert received.startswith(b'HTTP/1.1 401')


async def test_removed_key_stops_working_on_an_open_connection():
    """Guards against a connection that keeps the identity of its start."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness, harness.connection() as caller:
        harness.set_workspaces(OWN)
        assert (await caller.send(*bearer('secret'))).startswith(
            b'HTTP/1.1 200'
        )
        harness.set_workspaces((Workspace('own'), ('spare',)))
        assert (await caller.send(*bearer('secret'))).startswith(
            b'HTTP/1.1 401'
        )
        assert (await caller.send(*bearer('spare'))).startswith(b'HTTP/1.1 200')
    assert len(target.heads) == 2


async def test_unknown_path_is_answered_before_the_key():
    """Guards against a 401 for a path that nobody serves."""
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.set_workspaces(OWN)
        received = await harness.request(path='/new/x')
    assert received.startswith(b'HTTP/1.1 404')


@pytest.mark.parametrize('anonymous', [True, False])
async def test_untrusted_keys_are_not_served(anonymous):
    """Guards against serving removed keys at an instance that is cut off."""
    target = ScriptedTarget(answer)
    async with gateway(target, allows_anonymous=anonymous) as harness:
        harness.set_workspaces(OWN)
        harness.proxy.routing_state.routes_confirmed = False
        harness.proxy.routing_state.trusts_keys = lambda: False
        received = await harness.request(fields=bearer('secret'))
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: ' in received
        assert b'"ran":"not-run"' in received
        assert not target.heads
        received = await harness.request()
        assert received.startswith(b'HTTP/1.1 200') is anonymous


async def test_trust_in_keys_matters_only_with_workspaces():
    """Guards against refusals in deployments whose callers need no keys."""
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.proxy.routing_state.trusts_keys = lambda: False
        received = await harness.request(fields=bearer('secret'))
    assert received.startswith(b'HTTP/1.1 200')


def test_keys_may_hold_any_text():
    """Guards against a key that is in no ASCII, or that is empty."""
    table = WorkspaceTable.from_keys([(Workspace('own'), ('clé', '\udcff'))])
    assert table.find('clé') is table.by_name['own']
    assert table.find('cl\udcc3\udca9') is table.by_name['own']
    assert table.find('') is None
