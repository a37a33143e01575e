"""Tests of the regions of routes and workspaces, also through a relay."""

import pytest

from cuminhoist.gateway.workspaces import Workspace

from .builders import (
    ScriptedTarget,
    answer,
    bearer,
    gateway,
    header_values,
    relayed_to,
)

REGION = 'r'


def _workspace(*regions, **changes):
    workspace = Workspace('own', allowed_regions=frozenset(regions), **changes)
    return workspace, ('secret',)


@pytest.mark.parametrize(
    ('by_route', 'homes', 'expected'),
    [
        ((), (), ()),
        ((REGION,), (), (REGION,)),
        ((), (REGION,), (REGION,)),
        ((REGION, 'x'), (REGION, 'y'), (REGION,)),
    ],
)
async def test_regions_of_route_and_workspace_both_bind(
    by_route, homes, expected
):
    """Guards against serving a workspace outside of its regions."""
    async with gateway(
        ScriptedTarget(answer), allowed_regions=frozenset(by_route)
    ) as harness:
        harness.set_workspaces(_workspace(*homes, priority=3))
        received = await harness.request(fields=bearer('secret'))
        assert received.startswith(b'HTTP/1.1 200')
    (placement,) = harness.dispatcher.requests
    assert placement.allowed_regions == frozenset(expected)
    assert placement.priority == 3
    assert placement.workspace == 'own'


async def test_workspace_without_targets_in_its_regions_is_not_served():
    """Guards against falling back to a region that is not allowed."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        harness.set_workspaces(_workspace('elsewhere'))
        received = await harness.request(fields=bearer('secret'))
    assert received.startswith(b'HTTP/1.1 503')
    assert b'"ran":"not-run"' in received
    assert not target.heads


async def test_disjoint_regions_are_refused_at_once():
    """Guards against an empty set of regions that is taken for all."""
    target = ScriptedTarget(answer)
    async with gateway(target, allowed_regions=frozenset((REGION,))) as harness:
        harness.set_workspaces(_workspace('elsewhere'))
        received = await harness.request(fields=bearer('secret'))
    assert received.startswith(b'HTTP/1.1 503')
    assert b'"ran":"not-run"' in received
    assert not harness.dispatcher.requests
    assert not target.heads


async def test_relayed_request_keeps_its_workspace_without_the_key():
    """Guards against a key that is sent to another instance.

    Priority and regions of the workspace hold there too.
    """
    target = ScriptedTarget(answer)
    async with (
        gateway(ScriptedTarget(answer)) as cut,
        gateway(target) as other,
        relayed_to(cut, other) as asked,
    ):
        entry = _workspace(REGION, priority=2)
        cut.set_workspaces(entry)
        # The other instance doesn't know the key, but the workspace.
        other.set_workspaces((entry[0], ()))
        cut.proxy.reachability.is_cut = True
        received = await cut.request(
            fields=(*bearer('secret'), 'x-cuminhoist-relayed-workspace: forged')
        )
        assert received.startswith(b'HTTP/1.1 200')
    assert asked == [frozenset((REGION,))]
    (head,) = target.heads
    assert header_values(head, 'x-tenant') == ['own']
    assert b'secret' not in head
    (placement,) = other.dispatcher.requests
    assert placement.allowed_regions == frozenset((REGION,))
    assert placement.priority == 2


@pytest.mark.parametrize(
    'forged',
    [
        'x-cuminhoist-relayed-workspace: own',
        'x-cuminhoist-relayed-workspace: own\r\n'
        'x-cuminhoist-relayed-for: 127.0.0.1',
        'x-tenant: own',
    ],
)
async def test_relay_trusts_no_workspace_that_a_caller_names(forged):
    """Guards against a caller that names a workspace without its key.

    The cut instance has no workspaces yet, so it changes no header.
    """
    target = ScriptedTarget(answer)
    async with (
        gateway(ScriptedTarget(answer)) as cut,
        gateway(target) as other,
        relayed_to(cut, other),
    ):
        other.set_workspaces(_workspace())
        cut.proxy.reachability.is_cut = True
        received = await cut.request(fields=(forged,))
        assert received.startswith(b'HTTP/1.1 503')
        received = await cut.request(fields=(forged, *bearer('secret')))
        assert received.startswith(b'HTTP/1.1 200')
    (head,) = target.heads
    assert header_values(head, 'x-tenant') == ['own']
    assert b'authorization' not in head.lower()


async def test_workspace_that_the_other_instance_lacks_is_not_run():
    """Guards against a 401, which is final, by an outdated instance."""
    target = ScriptedTarget(answer)
    async with (
        gateway(ScriptedTarget(answer)) as cut,
        gateway(target) as other,
        relayed_to(cut, other),
    ):
        cut.set_workspaces(_workspace())
        other.set_workspaces()
        cut.proxy.reachability.is_cut = True
        received = await cut.request(fields=bearer('secret'))
    assert received.startswith(b'HTTP/1.1 503')
    assert b'"ran":"not-run"' in received
    assert not target.heads


async def test_other_instance_without_workspaces_passes_the_name_on():
    """Guards against a target that gets no workspace, or two of them."""
    target = ScriptedTarget(answer)
    async with (
        gateway(ScriptedTarget(answer)) as cut,
        gateway(target) as other,
        relayed_to(cut, other),
    ):
        cut.set_workspaces(_workspace())
        cut.proxy.reachability.is_cut = True
        received = await cut.request(fields=bearer('secret'))
        assert received.startswith(b'HTTP/1.1 200')
    assert header_values(target.heads[0], 'x-tenant') == ['own']
