"""Random messages with odd content, sent to running instances.

The tests guard against a long-lived task that ends, or a message that no
instance can be sent any more, because of what one instance has sent.
"""

import asyncio

import looptime
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist.codec import Codec
from cuminhoist.fleet import messages as fleet_messages
from tests.odd_strategies import messages

from .builders import add_peer, hello
from .test_control_instance import _control, _nothing
from .test_entry_instance import _entry_instance, _linked

CASES = settings(max_examples=60, derandomize=True, deadline=None)
_TO_CONTROL = (
    fleet_messages.ReadinessNotice,
    fleet_messages.ControlHeartbeat,
    fleet_messages.LinkedInstances,
    fleet_messages.TargetList,
    fleet_messages.TargetChanges,
    fleet_messages.LeavingNotice,
    fleet_messages.LimitsNotice,
    fleet_messages.AllowanceNotice,
    fleet_messages.PoisonNotice,
    fleet_messages.PlacementRequestNotice,
    fleet_messages.AttemptReportNotice,
    fleet_messages.RunningNotice,
    fleet_messages.PausesNotice,
    fleet_messages.WithdrawNotice,
)
_TO_ENTRY = (
    fleet_messages.View,
    fleet_messages.Roster,
    fleet_messages.TargetList,
    fleet_messages.TargetChanges,
    fleet_messages.LeavingNotice,
    fleet_messages.LimitsNotice,
    fleet_messages.AllowanceShares,
    fleet_messages.PoisonNotice,
    fleet_messages.FleetSummary,
    fleet_messages.DecisionNotice,
)


@given(st.binary(max_size=200), st.booleans())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_random_bytes_are_values(body, is_named):
    """Guards against an error where a frame is read."""
    codec = Codec('', 'a')
    if is_named:
        name = msgspec.msgpack.encode(('View', 'a'))[1:]
        body = b'\x93' + name + body
    assert codec.decode(codec._compute_tag(body) + body) is not None


def _restarts(instance):
    return [
        (sample.labels, sample.value)
        for metric in instance.metrics.registry.collect()
        if metric.name == 'cuminhoist_task_restarts'
        for sample in metric.samples
    ]


def _run(scenario):
    """Run a scenario on a controlled clock."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(scenario)


@CASES
@given(sent=st.lists(messages(*_TO_CONTROL), max_size=5))
def test_odd_messages_end_no_task_of_a_control_instance(tmp_path_factory, sent):
    """Guards against a control instance that one message disables."""

    async def scenario():
        control = _control(tmp_path_factory.mktemp('disk'))
        control.links.start = _nothing
        control.links.run_dialling = asyncio.Event().wait
        control.feed.run = asyncio.Event().wait
        peers = [
            add_peer(control.links, hello('e0')),
            add_peer(control.links, hello('c1', control=True)),
        ]
        for peer in peers:
            peer.link.peer = peer
        await control.start()
        for msg in sent:
            for peer in peers:
                _deliver(control.links, peer.link, msg)
            await asyncio.sleep(0.3)
        await asyncio.sleep(2)
        assert _restarts(control) == []
        await control._background.stop()

    _run(scenario())


@CASES
@given(sent=st.lists(messages(*_TO_ENTRY), max_size=5))
def test_odd_messages_end_no_task_of_an_entry_instance(sent):
    """Guards against an entry instance that one message disables."""

    async def scenario():
        entry = _entry_instance()
        entry.links._dial_wanted = lambda: None
        entry.feed.run = asyncio.Event().wait
        link = _linked(entry)
        await entry.start()
        for msg in sent:
            _deliver(entry.links, link, msg)
            await asyncio.sleep(0.3)
        await asyncio.sleep(2)
        assert _restarts(entry) == []
        await entry.stop()

    _run(scenario())


def _deliver(handler, link, msg):
    """Deliver a message as a link does, which logs errors of its handler."""
    link._handler = handler
    link._deliver(msg)
