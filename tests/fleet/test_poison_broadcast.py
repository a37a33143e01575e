"""Tests of spreading the ends of targets under requests over the fleet.

They guard against a request that meets instances which do not know how many
targets have ended under it elsewhere.
"""

from cuminhoist.fleet.control_metrics import ControlMetrics
from cuminhoist.fleet.messages import PoisonNotice
from cuminhoist.fleet.poison_broadcast import PoisonBroadcast
from cuminhoist.steering.poison_requests import Fingerprint, TargetEnd

from .builders import add_peer, control_links, hello

REQUEST = Fingerprint('p', 'p/c')
NOTICE = PoisonNotice(ends=(TargetEnd(REQUEST, 'a', 1),))
REFUTED = PoisonNotice(ends=(TargetEnd(REQUEST, 'a', 1, refuted=True),))


class _Fleet:
    """A control instance with one of each kind of peer."""

    def __init__(self):
        links = control_links()
        self.broadcast = PoisonBroadcast(links, ControlMetrics(), lambda: 0)
        self.entry = add_peer(links, hello('e0'))
        self.subscriber = add_peer(links, hello('e1'))
        self.subscriber.subscribed = True
        self.control = add_peer(links, hello('c1', control=True))


async def test_end_of_a_target_reaches_the_whole_fleet_once():
    """Guards against counts that stay in one region, and against echoes."""
    fleet = _Fleet()
    for notice in (NOTICE, NOTICE, REFUTED, NOTICE):
        fleet.broadcast.handle_notice(fleet.entry, notice)
    for peer in (fleet.subscriber, fleet.control):
        assert peer.link.take() == [NOTICE, REFUTED]


async def test_notice_of_a_control_instance_goes_to_subscribers_only():
    """Guards against control instances that repeat notices to each other."""
    fleet = _Fleet()
    fleet.broadcast.handle_notice(fleet.control, NOTICE)
    assert fleet.subscriber.link.take() == [NOTICE]
    assert fleet.control.link.take() == []


async def test_new_instances_learn_what_is_remembered():
    """Guards against counts that end with a replaced instance."""
    fleet = _Fleet()
    fleet.broadcast.send_in_force(fleet.control.link)
    assert fleet.control.link.take() == []
    fleet.broadcast.handle_notice(fleet.entry, NOTICE)
    fleet.control.link.take()
    fleet.broadcast.send_in_force(fleet.control.link)
    assert fleet.control.link.take() == [NOTICE]
