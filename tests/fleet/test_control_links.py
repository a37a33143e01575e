"""Tests of the links of a control instance.

They guard against a running voter that counts as silent, which loses its
place among the voters.
"""

import asyncio

import pytest

from .builders import add_peer, control_links, heartbeat, hello

pytestmark = pytest.mark.looptime


async def test_reset_link_makes_no_voter_silent():
    """Guards against a voter that is replaced since its link was reset.

    Without a link it counted as silent for ever, at once.
    """
    links = control_links()
    peer = add_peer(links, hello('c1', control=True))
    peer.link.peer = peer
    links.message_received(peer.link, heartbeat('c1'))
    await asyncio.sleep(0.5)
    links.link_closed(peer.link)
    assert links.voter_silence_s('c1') == pytest.approx(0.5)


async def test_unknown_voter_is_silent_since_the_start():
    """Guards against a voter that is taken for gone before it can link."""
    links = control_links()
    await asyncio.sleep(2)
    assert links.voter_silence_s('c1') == pytest.approx(2)
