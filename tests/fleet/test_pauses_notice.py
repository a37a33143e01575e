"""Tests of pauses of targets across a change of dispatcher."""

import asyncio

import pytest

from cuminhoist.fleet.control_metrics import ControlMetrics
from cuminhoist.fleet.entry_links import EntryLinks
from cuminhoist.fleet.messages import (
    DecisionNotice,
    PausesNotice,
    PlacementRequestNotice,
    RunningNotice,
    View,
)
from cuminhoist.fleet.peer import Peer
from cuminhoist.fleet.region_dispatch import RegionDispatch
from cuminhoist.steering.decisions import Granted, Refused
from cuminhoist.steering.target_pauses import TargetPause
from cuminhoist.steering.tracked_target import TrackedTarget
from tests.steering.builders import REGION, SERVICE, request, target

from .builders import RecordingLink, hello, instance_config

pytestmark = pytest.mark.looptime

_PAUSE = TargetPause('t0', 0, 2)


def _notice(*pauses):
    return PausesNotice(pauses=pauses)


def _linked_entry(*pauses):
    now = asyncio.get_running_loop().time
    links = EntryLinks(instance_config('e0'), hello('e0'), now)
    links.unexpired_pauses = lambda: pauses
    links_by_name = {}
    for name in ('c1', 'c2'):
        links_by_name[name] = RecordingLink()
        links.message_received(links_by_name[name], hello(name, control=True))
    return links, links_by_name


def _choose(links, links_by_name, name):
    for link in links_by_name.values():
        view = View(
            index=1,
            confirmed=True,
            dispatcher=name,
            entries=1,
            region_entries=1,
        )
        links.message_received(link, view)


def _kinds(link):
    wanted = (RunningNotice, PausesNotice)
    return [type(msg) for msg in link.take() if isinstance(msg, wanted)]


async def test_pauses_are_repeated_to_a_new_dispatcher():
    """Guards against grants of paused targets after a change."""
    links, links_by_name = _linked_entry(_PAUSE)
    for name in ('c1', 'c2'):
        _choose(links, links_by_name, name)
        sent = links_by_name[name].sent
        assert _notice(_PAUSE) in sent
        # The first notice makes the dispatcher forget this instance.
        assert _kinds(links_by_name[name]) == [
            RunningNotice,
            PausesNotice,
        ]


async def test_no_notice_without_pauses():
    """Guards against messages that say nothing."""
    links, links_by_name = _linked_entry()
    _choose(links, links_by_name, 'c1')
    assert _kinds(links_by_name['c1']) == [RunningNotice]


def _region_dispatch(*names):
    now = asyncio.get_running_loop().time
    dispatch = RegionDispatch(
        REGION, {'south-a': REGION}, now, 1, ControlMetrics()
    )
    targets = {
        name: TrackedTarget(target(name, slots=1), REGION) for name in names
    }
    dispatch.dispatcher.set_targets(SERVICE, targets, REGION)
    return dispatch


def _decisions(link):
    return [
        msg.decision for msg in link.take() if isinstance(msg, DecisionNotice)
    ]


async def test_dispatcher_keeps_repeated_pauses():
    """Guards against a new dispatcher that offers paused targets."""
    dispatch = _region_dispatch('t0')
    paused, other = (Peer(hello(name), RecordingLink()) for name in 'ab')
    dispatch.handle_message(paused, _notice(_PAUSE))
    for peer, kind in ((paused, Refused), (other, Granted)):
        dispatch.handle_message(
            peer, PlacementRequestNotice(request=request(1))
        )
        (decision,) = _decisions(peer.link)
        assert isinstance(decision, kind)


async def test_repeated_pause_places_waiting_requests_again():
    """Guards against requests that wait for a target they may not use."""
    dispatch = _region_dispatch('t0')
    peer = Peer(hello('a'), RecordingLink())
    for number in (1, 2):
        dispatch.handle_message(
            peer, PlacementRequestNotice(request=request(number))
        )
    assert len(_decisions(peer.link)) == 1
    dispatch.handle_message(peer, _notice(_PAUSE))
    (decision,) = _decisions(peer.link)
    assert isinstance(decision, Refused)
    assert decision.retry_after_s == pytest.approx(2)
