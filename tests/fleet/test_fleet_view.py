"""Tests of the merged view of the fleet, and of what keeps it current.

They guard against look-ups that name lost instances or miss running ones, and
against messages that repeat hundreds of unchanged entry instances.
"""

import asyncio

import pytest

from cuminhoist.fleet.fleet_view import (
    ENTRIES_KEPT_S,
    HEARTBEAT_VALID_S,
    FleetView,
)

from .builders import add_peer, control_links, hello

pytestmark = pytest.mark.looptime


def _names(links):
    return [entry.name for entry in links.fleet.entries()]


async def test_unchanged_instances_are_not_sent_again():
    """Guards against control messages that grow with the fleet."""
    links = control_links()
    for number in range(3):
        add_peer(links, hello(f'e{number}'))
    first = links.fleet.changes()
    assert [entry.name for entry in first.entries] == ['e0', 'e1', 'e2']
    assert links.fleet.changes() is None
    links.peers['e1'].ready = False
    second = links.fleet.changes()
    assert (second.entries, second.gone) == ((), ('e1',))


async def test_changes_lead_to_the_same_entries():
    """Guards against a receiver whose view differs from the sender's."""
    sender, receiver = control_links('c1'), control_links('c0')
    peer = add_peer(receiver, hello('c1', control=True))
    add_peer(sender, hello('e0'))
    sender.fleet.changes()
    receiver.fleet.apply(peer, sender.fleet.all_linked())
    assert _names(receiver) == ['e0']
    add_peer(sender, hello('e1'))
    sender.peers.pop('e0')
    receiver.fleet.apply(peer, sender.fleet.changes())
    assert _names(receiver) == ['e1']


async def test_complete_message_replaces_earlier_ones():
    """Guards against entry instances that were lost while a link was down."""
    receiver = control_links('c0')
    peer = add_peer(receiver, hello('c1', control=True))
    sender = control_links('c1')
    add_peer(sender, hello('e0'))
    receiver.fleet.apply(peer, sender.fleet.changes())
    restarted = control_links('c1')
    add_peer(restarted, hello('e2'))
    restarted.fleet.changes()
    receiver.fleet.apply(peer, restarted.fleet.all_linked())
    assert _names(receiver) == ['e2']


async def test_entries_of_a_silent_control_instance_expire():
    """Guards against look-ups that name instances of a lost domain."""
    links = control_links()
    peer = add_peer(links, hello('c1', control=True))
    sender = control_links('c1')
    add_peer(sender, hello('e0'))
    links.fleet.apply(peer, sender.fleet.changes())
    assert _names(links) == ['e0']
    await asyncio.sleep(HEARTBEAT_VALID_S + ENTRIES_KEPT_S)
    assert not _names(links)


async def test_view_counts_the_region():
    """Guards against shares of slots that count instances elsewhere."""
    links = control_links()
    add_peer(links, hello('e0'))
    view = links.fleet.view('south', 3, 0.5, confirmed=True)
    assert (view.entries, view.region_entries, view.dispatcher) == (1, 1, 'c0')
    assert links.fleet.view('north', 3, 0.5, confirmed=True).dispatcher == ''


async def test_leaving_instance_names_itself_no_longer():
    """Guards against entry instances that choose a leaving dispatcher."""
    links = control_links()
    assert isinstance(links.fleet, FleetView)
    links.fleet.leaving = True
    assert not links.fleet.controls()
