"""Tests of what subscribed entry instances get.

They guard against entry instances that miss a state, a target or an instance,
and against links filled with lists that the receiver has.
"""

import asyncio

import pytest

from cuminhoist.fleet.entry_updates import ROSTER_DELAY_S, EntryUpdates
from cuminhoist.fleet.list_changes import list_digest
from cuminhoist.fleet.messages import (
    FleetSummary,
    LeavingNotice,
    ReadinessNotice,
    Roster,
    TargetChanges,
    TargetList,
)
from cuminhoist.register.declared_state import DeclaredState
from cuminhoist.register.messages import Learned
from cuminhoist.steering.leaving_targets import LeavingTarget
from tests.steering.builders import target

from .builders import add_peer, control_links, feed_of, hello

pytestmark = pytest.mark.looptime

STATE = DeclaredState.from_founders(())
SUMMARY = FleetSummary(controls=(), demand=())


async def _updates(entries=()):
    links = control_links()
    feed = feed_of(entries)
    updates = EntryUpdates(links, feed, asyncio.get_running_loop().time)
    await asyncio.sleep(ROSTER_DELAY_S + 0.1)
    updates.send_targets()
    updates.send_heartbeat(SUMMARY)
    return links, feed, updates


def _subscribe(updates, peer, **fields):
    notice = ReadinessNotice(ready=True, subscribed=True, **fields)
    updates.handle_notice(peer, notice, STATE)
    return {type(msg) for msg in peer.link.take()}


async def test_new_subscriber_gets_what_it_lacks():
    """Guards against an entry instance that waits for the next change."""
    links, _, updates = await _updates([target('a')])
    peer = add_peer(links, hello('e0'))
    kinds = _subscribe(updates, peer)
    assert kinds == {Learned, TargetList, Roster, FleetSummary}


async def test_new_subscriber_gets_nothing_twice():
    """Guards against complete lists on each change of the source."""
    links, feed, updates = await _updates([target('a')])
    peer = add_peer(links, hello('e0'))
    digest = list_digest(feed.listed)
    kinds = _subscribe(
        updates, peer, state_index=STATE.index, list_digest=digest
    )
    assert kinds == {Roster, FleetSummary}
    repeated = ReadinessNotice(ready=True, subscribed=True)
    updates.handle_notice(peer, repeated, STATE)
    assert not peer.link.take()


async def test_only_subscribers_get_changes():
    """Guards against the same changes from every control instance."""
    links, feed, updates = await _updates()
    subscriber = add_peer(links, hello('e0'))
    other = add_peer(links, hello('e1'))
    _subscribe(updates, subscriber)
    feed.listed = (target('a'),)
    updates.send_targets()
    updates.send_heartbeat(SUMMARY)
    kinds = [type(msg) for msg in subscriber.link.take()]
    assert kinds == [TargetChanges, Roster]
    assert not other.link.take()
    updates.handle_notice(subscriber, ReadinessNotice(ready=True), STATE)
    feed.listed = ()
    updates.send_targets()
    assert not subscriber.link.take()


async def test_roster_changes_are_relative_to_the_sent_roster():
    """Guards against a subscriber that keeps a lost entry instance."""
    links, _, updates = await _updates()
    peer = add_peer(links, hello('e0'))
    add_peer(links, hello('e1'))
    updates.send_heartbeat(SUMMARY)
    _subscribe(updates, peer)
    links.peers.pop('e1')
    links.fleet.invalidate()
    updates.send_heartbeat(SUMMARY)
    roster = peer.link.take()[-1]
    assert (roster.gone, roster.complete) == (('e1',), False)


async def test_restarted_control_instance_only_adds_to_the_roster():
    """Guards against look-ups that name few instances after a restart."""
    links = control_links()
    clock = asyncio.get_running_loop().time
    updates = EntryUpdates(links, feed_of(), clock)
    peer = add_peer(links, hello('e0'))
    _subscribe(updates, peer)
    updates.send_heartbeat(SUMMARY)
    early = next(msg for msg in peer.link.take() if isinstance(msg, Roster))
    assert [entry.name for entry in early.entries] == ['e0']
    assert not early.complete
    await asyncio.sleep(ROSTER_DELAY_S + 0.1)
    updates.send_heartbeat(SUMMARY)
    later = next(msg for msg in peer.link.take() if isinstance(msg, Roster))
    assert [entry.name for entry in later.entries] == ['e0']
    assert later.complete


async def test_new_subscriber_learns_notices_in_force():
    """Guards against requests to a target that has announced its stop."""
    links, feed, updates = await _updates([target('a')])
    feed.add_leaving([LeavingTarget('a')])
    peer = add_peer(links, hello('e0'))
    kinds = _subscribe(updates, peer)
    assert kinds == {Learned, TargetList, LeavingNotice, Roster, FleetSummary}
