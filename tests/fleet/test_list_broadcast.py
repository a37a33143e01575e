"""Tests of the target list between control instances.

They guard against complete lists each second, and against a receiver that
gets changes to a list which it does not have.
"""

import pytest

from cuminhoist.fleet.list_broadcast import ListBroadcast
from cuminhoist.fleet.messages import TargetChanges, TargetList
from tests.steering.builders import target

from .builders import add_peer, control_links, feed_of, hello

pytestmark = pytest.mark.looptime


async def test_list_is_sent_once_and_then_its_changes():
    """Guards against hundreds of unchanged targets each second."""
    links = control_links()
    peer = add_peer(links, hello('c1', control=True))
    broadcast = ListBroadcast(links)
    feed = feed_of([target('a')])
    broadcast.send(feed, 0)
    feed.listed = (target('a'), target('b'))
    broadcast.send(feed, 0)
    complete, changes = peer.link.take()
    assert isinstance(complete, TargetList)
    assert [entry.name for entry in changes.changed] == ['b']


async def test_new_link_and_new_reader_start_with_the_list():
    """Guards against changes to a list that was never sent on a link."""
    links = control_links()
    broadcast = ListBroadcast(links)
    feed = feed_of([target('a')])
    first = add_peer(links, hello('c1', control=True))
    broadcast.send(feed, 0)
    second = add_peer(links, hello('c2', control=True))
    broadcast.send(feed, 0)
    assert isinstance(first.link.take()[-1], TargetChanges)
    assert isinstance(second.link.take()[-1], TargetList)
    broadcast.pause()
    broadcast.send(feed, 0)
    assert isinstance(first.link.take()[-1], TargetList)
