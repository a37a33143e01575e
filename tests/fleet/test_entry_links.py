"""Tests of the links of an entry instance to control instances.

They guard against links to other regions that stay open without need, each of
which carries views and notices twice a second.
"""

import asyncio

import msgspec
import pytest

from cuminhoist.fleet.entry_links import (
    UNWANTED_LINK_S,
    VIEW_VALID_S,
    EntryLinks,
)
from cuminhoist.fleet.messages import (
    ControlEndpoint,
    FleetSummary,
    LeavingNotice,
    ReadinessNotice,
    TargetChanges,
    TargetList,
    View,
)
from cuminhoist.fleet.subscription import Progress
from cuminhoist.steering.leaving_targets import LeavingTarget
from tests.steering.builders import target

from .builders import RecordingLink, hello, instance_config

pytestmark = pytest.mark.looptime


def _entry_links():
    now = asyncio.get_running_loop().time
    return EntryLinks(instance_config('e0'), hello('e0'), now)


def _link(links, name, region='south'):
    link = RecordingLink()
    control_hello = hello(name, control=True)
    links.message_received(
        link, msgspec.structs.replace(control_hello, region=region)
    )
    return link


def _send_view(links, link, **fields):
    values = {
        'index': 1,
        'confirmed': True,
        'dispatcher': '',
        'entries': 1,
        'region_entries': 1,
        **fields,
    }
    links.message_received(link, View(**values))


def _summary(*names):
    own = [hello(name, control=True) for name in names]
    endpoints = tuple(
        ControlEndpoint(peer.name, peer.address, peer.domain, peer.region)
        for peer in own
    )
    return FleetSummary(controls=endpoints, demand=())


async def test_links_to_other_regions_are_closed():
    """Guards against seeds of other regions that stay linked for ever."""
    links = _entry_links()
    own, remote = _link(links, 'c1'), _link(links, 'c2', 'north')
    links.message_received(own, _summary('c1'))
    task = asyncio.create_task(links.run())
    for _ in range(8):
        _send_view(links, own)
        await asyncio.sleep(UNWANTED_LINK_S / 6)
    task.cancel()
    assert remote.ended
    assert not own.ended


async def test_changes_of_a_former_source_are_ignored():
    """Guards against a list that is merged from unlike sources."""
    links = _entry_links()
    received = []
    links.on_message = received.append
    first = _link(links, 'c1')
    subscribed = [
        msg.subscribed
        for msg in first.take()
        if isinstance(msg, ReadinessNotice)
    ]
    assert subscribed[-1]
    links.message_received(first, TargetList(age_s=0, targets=(target('a'),)))
    second = _link(links, 'c2')
    changes = TargetChanges(age_s=0, changed=(target('b'),), gone=())
    links.message_received(second, changes)
    assert len(received) == 1
    links.message_received(first, changes)
    assert [entry.name for entry in received[-1].targets] == ['a', 'b']


async def test_lost_source_is_replaced_and_told_what_is_known():
    """Guards against a complete list on each change of the source."""
    links = _entry_links()
    first, second = _link(links, 'c1'), _link(links, 'c2')
    links.message_received(first, TargetList(age_s=0, targets=(target('a'),)))
    second.take()
    first.ended = True
    links.link_closed(first)
    notice = second.take()[-1]
    assert notice.subscribed
    assert notice.list_digest


async def test_state_is_newest_only_by_the_word_of_a_quorum():
    """Guards against a 404 by routes that a newer state replaces."""
    links = _entry_links()
    assert not links.is_newest(1)
    link, other = _link(links, 'c1'), _link(links, 'c2')
    _send_view(links, link, confirmed=False)
    assert not links.is_newest(1)
    _send_view(links, link)
    assert links.is_newest(1)
    assert not links.is_newest(0)
    _send_view(links, other, index=2, confirmed=False)
    assert not links.is_newest(1)
    await asyncio.sleep(VIEW_VALID_S + 0.1)
    assert not links.is_newest(2)


async def test_only_a_quorum_without_newer_state_confirms_the_own_one():
    """Guards against trust in keys that a newer state has removed.

    A control instance without a quorum can't know of the removal.
    """
    links = _entry_links()
    links.progress = lambda: Progress(1)
    link = _link(links, 'c1')
    assert links.newest_confirmed_at() == float('-inf')
    await asyncio.sleep(1)
    _send_view(links, link)
    await asyncio.sleep(1)
    _send_view(links, link, confirmed=False)
    _send_view(links, link, index=2)
    links.link_closed(link)
    assert links.newest_confirmed_at() == pytest.approx(1)


async def test_new_dispatcher_learns_notices_in_force():
    """Guards against a new dispatcher that grants slots of a leaving target."""
    links = _entry_links()
    notice = LeavingNotice(targets=(LeavingTarget('a', 1),))
    links.leaving_notice = lambda: notice
    first, second = _link(links, 'c1'), _link(links, 'c2')
    _send_view(links, first, dispatcher='c1')
    assert notice in first.take()
    assert notice not in second.take()
    first.ended = True
    links.link_closed(first)
    _send_view(links, second, dispatcher='c2')
    assert notice in second.take()


async def test_announced_stop_is_reported_to_the_dispatcher():
    """Guards against a notice that reaches no control instance."""
    links = _entry_links()
    notice = LeavingNotice(targets=(LeavingTarget('a', 1),))
    link = _link(links, 'c1')
    _send_view(links, link, dispatcher='c1')
    assert not any(isinstance(msg, LeavingNotice) for msg in link.take())
    links.report_leaving(notice)
    assert link.take() == [notice]
