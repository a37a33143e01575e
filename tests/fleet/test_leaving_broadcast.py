"""Tests of spreading notices of leaving targets over the fleet.

They guard against instances that send requests to a target after another
instance has learned that it is about to stop.
"""

import asyncio

import pytest

from cuminhoist.fleet.control_metrics import ControlMetrics
from cuminhoist.fleet.leaving_broadcast import LeavingBroadcast
from cuminhoist.fleet.messages import LeavingNotice
from cuminhoist.steering.leaving_targets import LeavingTarget
from tests.steering.builders import target

from .builders import add_peer, control_links, feed_of, hello

pytestmark = pytest.mark.looptime

NOTICE = LeavingNotice(targets=(LeavingTarget('a', 1),))


class _Fleet:
    """A control instance with one of each kind of peer."""

    def __init__(self):
        links = control_links()
        self.feed = feed_of([target('a', started_at_ms=1), target('b')])
        self.metrics = ControlMetrics()
        self.broadcast = LeavingBroadcast(links, self.feed, self.metrics)
        self.entry = add_peer(links, hello('e0'))
        self.subscriber = add_peer(links, hello('e1'))
        self.subscriber.subscribed = True
        self.control = add_peer(links, hello('c1', control=True))

    def notices(self, source):
        name = 'cuminhoist_leaving_notices_total'
        return self.metrics.registry.get_sample_value(name, {'source': source})


async def test_notice_of_an_entry_instance_reaches_the_whole_fleet():
    """Guards against a notice that stays in the region where it arose."""
    fleet = _Fleet()
    assert fleet.broadcast.handle_notice(fleet.entry, NOTICE)
    assert fleet.subscriber.link.take() == [NOTICE]
    assert fleet.control.link.take() == [NOTICE]
    assert fleet.feed.leaving_notice() == NOTICE
    assert fleet.notices('entry') == 1


async def test_known_notice_is_not_passed_on():
    """Guards against a message to all instances for each answer."""
    fleet = _Fleet()
    fleet.broadcast.handle_notice(fleet.entry, NOTICE)
    fleet.subscriber.link.take()
    assert not fleet.broadcast.handle_notice(fleet.subscriber, NOTICE)
    assert fleet.subscriber.link.take() == []
    assert fleet.notices('entry') == 1


async def test_notice_of_a_control_instance_goes_to_subscribers_only():
    """Guards against control instances that repeat notices to each other."""
    fleet = _Fleet()
    other = fleet.control
    assert fleet.broadcast.handle_notice(other, NOTICE)
    assert fleet.subscriber.link.take() == [NOTICE]
    assert other.link.take() == []
    assert fleet.notices('control') == 1


async def test_notice_of_a_former_start_is_ignored():
    """Guards against taking out a target that has started anew."""
    fleet = _Fleet()
    await asyncio.sleep(1)
    fleet.feed.listed = (target('a', started_at_ms=2),)
    assert not fleet.broadcast.handle_notice(fleet.entry, NOTICE)
    assert fleet.subscriber.link.take() == []


async def test_notices_in_force_are_sent_on_a_new_link():
    """Guards against an instance that joins after a notice was sent."""
    fleet = _Fleet()
    fleet.broadcast.send_in_force(fleet.control.link)
    assert fleet.control.link.take() == []
    fleet.broadcast.handle_notice(fleet.entry, NOTICE)
    fleet.control.link.take()
    fleet.broadcast.send_in_force(fleet.control.link)
    assert fleet.control.link.take() == [NOTICE]
