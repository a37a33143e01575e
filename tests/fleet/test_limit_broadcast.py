"""Tests of spreading the limits of targets over the fleet.

They guard against instances that send a target more requests than it takes
because another instance has learned its limit.
"""

from cuminhoist.fleet.control_metrics import ControlMetrics
from cuminhoist.fleet.limit_broadcast import LimitBroadcast
from cuminhoist.fleet.messages import LimitsNotice
from cuminhoist.steering.decisions import AttemptReport, Ending
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.target_limits import TargetLimit

from .builders import add_peer, control_links, hello

NOTICE = LimitsNotice(limits=(TargetLimit('a', 1, 3),))
ENDED = LimitsNotice(limits=(TargetLimit('a', 1, None),))


class _Fleet:
    """A control instance with one of each kind of peer."""

    def __init__(self):
        links = control_links()
        self.dispatcher = Dispatcher()
        self.broadcast = LimitBroadcast(
            links, self.dispatcher, ControlMetrics()
        )
        self.entry = add_peer(links, hello('e0'))
        self.subscriber = add_peer(links, hello('e1'))
        self.subscriber.subscribed = True
        self.control = add_peer(links, hello('c1', control=True))

    def answer(self, limit_per_s, now):
        """Learn the limit that an answer names."""
        self.dispatcher.end_attempt(
            'e0',
            AttemptReport(
                1, 'a', 's', '', Ending.answered, 0.1, 0, 1, limit_per_s
            ),
            now,
        )


async def test_limit_of_an_answer_reaches_the_whole_fleet_once():
    """Guards against a limit that only the dispatcher that learned it keeps."""
    fleet = _Fleet()
    fleet.answer(3.0, 1)
    fleet.answer(3.0, 1.1)
    for peer in (fleet.subscriber, fleet.control):
        assert peer.link.take() == [NOTICE]
    fleet.answer(float('inf'), 2)
    for peer in (fleet.subscriber, fleet.control):
        assert peer.link.take() == [ENDED]


async def test_limit_of_a_control_instance_goes_to_subscribers_only():
    """Guards against control instances that repeat limits to each other."""
    fleet = _Fleet()
    fleet.broadcast.handle_notice(fleet.control, NOTICE, 0)
    assert fleet.subscriber.link.take() == [NOTICE]
    assert fleet.control.link.take() == []
    assert fleet.dispatcher.limits.in_force() == NOTICE.limits


async def test_new_dispatcher_learns_limits_from_entry_instances():
    """Guards against a limit that is lost with the dispatcher."""
    fleet = _Fleet()
    fleet.broadcast.handle_notice(fleet.entry, NOTICE, 0)
    assert fleet.control.link.take() == [NOTICE]
    fleet.broadcast.send_in_force(fleet.control.link)
    assert fleet.control.link.take() == [NOTICE]
