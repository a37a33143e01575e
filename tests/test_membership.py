"""Tests of the sources on leaving targets and usable entry instances.

They guard against a source that is ignored or that overrides another one, so
that requests go to a leaving target or a stopped instance.
"""

import pytest

from cuminhoist.clock import ManualClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.config_model import Configuration, Drain
from cuminhoist.heartbeats import Heartbeat, PeerSummary
from cuminhoist.instance_list import PlatformList
from cuminhoist.membership import (
    MARK_LIFETIME_S,
    PARTNER_SILENT_S,
    TAKEOVER_S,
    Membership,
    cross_domain_partners,
)
from cuminhoist.types import DrainScope

from . import builders

TOPOLOGY = builders.example_topology()
OWN = 'entry-gogledd-a-1'
#: Two entry instances of one domain.
PAIR_OWN, PAIR_PEER = 'entry-de-cymru-a-1', 'entry-de-cymru-a-2'
TARGET = next(
    target for target in TOPOLOGY.targets if target.domain == 'gogledd-a'
)
HEARTBEAT = Heartbeat(incarnation='one', epoch=2)


def _membership(name=OWN):
    clock, cfg = ManualClock(), ConfigInForce()
    return Membership(TOPOLOGY, name, clock, cfg), clock, cfg


def _platform_list(*leaving):
    return PlatformList(leaving=frozenset(leaving))


@pytest.mark.parametrize(
    'scope,name,target_drained,entry_drained',
    [
        (DrainScope.upstream, TARGET.name, True, False),
        (DrainScope.entry, OWN, False, True),
        (DrainScope.domain, 'gogledd-a', True, True),
        (DrainScope.region, 'gogledd', True, True),
        (DrainScope.domain, 'gogledd-b', False, False),
        (DrainScope.entry, TARGET.name, False, False),
    ],
)
def test_drains_start_at_their_time(scope, name, target_drained, entry_drained):
    """Guards against drains of the wrong targets or instances, or too early."""
    membership, clock, cfg = _membership()
    drain = Drain(scope=scope, name=name, starts_at=clock.wall() + 5)
    cfg.replace_if_newer(Configuration(version=1, drains=(drain,)))
    assert not membership.is_target_leaving(TARGET.name)
    assert membership.is_entry_usable(OWN)
    clock.advance(5)
    assert membership.is_target_leaving(TARGET.name) == target_drained
    assert membership.is_entry_usable(OWN) != entry_drained
    cfg.replace_if_newer(Configuration(version=2))
    assert not membership.is_target_leaving(TARGET.name)


def test_platform_list_marks_leaving_but_not_running():
    """Guards against use of the platform's list to tell who runs.

    The list lags behind: it may name a stopped instance as live.
    """
    membership, clock, _ = _membership(PAIR_OWN)
    membership.record_heartbeat(PAIR_PEER, HEARTBEAT)
    membership.replace_platform_list(_platform_list(PAIR_PEER, TARGET.name))
    assert membership.is_target_leaving(TARGET.name)
    assert not membership.is_entry_usable(PAIR_PEER)
    membership.replace_platform_list(_platform_list())
    assert not membership.is_target_leaving(TARGET.name)
    assert membership.is_entry_usable(PAIR_PEER)
    clock.advance(TAKEOVER_S + 1)
    membership.replace_platform_list(PlatformList(live=frozenset([PAIR_PEER])))
    assert not membership.is_entry_usable(PAIR_PEER)


def test_own_signal_outlives_the_platform_list():
    """Guards against a platform list that clears a mark of another source."""
    membership, _, _ = _membership()
    membership.mark_target_leaving(TARGET.name)
    membership.replace_platform_list(_platform_list(TARGET.name))
    membership.replace_platform_list(
        PlatformList(live=frozenset([TARGET.name]))
    )
    assert membership.is_target_leaving(TARGET.name)
    assert membership.own_leaving_targets == (TARGET.name,)


def test_marks_of_peers_count_while_they_are_recent():
    """Guards against leaving marks that stay after their instance stopped."""
    membership, clock, _ = _membership(PAIR_OWN)
    marked = Heartbeat(incarnation='one', leaving_targets=(TARGET.name,))
    membership.record_heartbeat(PAIR_PEER, marked)
    assert membership.is_target_leaving(TARGET.name)
    membership.record_heartbeat(PAIR_PEER, HEARTBEAT)
    assert not membership.is_target_leaving(TARGET.name)
    membership.record_heartbeat(PAIR_PEER, marked)
    clock.advance(MARK_LIFETIME_S + 1)
    assert not membership.is_target_leaving(TARGET.name)


def test_only_partners_count_as_silent_outside_the_domain():
    """Guards against excluding instances that never send heartbeats here."""
    membership, clock, _ = _membership()
    partners = {entry.name for entry in cross_domain_partners(TOPOLOGY, OWN)}
    others = [
        entry.name
        for entry in TOPOLOGY.entry_instances()
        if entry.domain != 'gogledd-a'
    ]
    clock.advance(PARTNER_SILENT_S + 1)
    for name in others:
        assert membership.is_entry_usable(name) == (name not in partners)
    for name in partners:
        membership.record_heartbeat(name, HEARTBEAT)
    assert all(membership.is_entry_usable(name) for name in others)


def test_summaries_count_by_age():
    """Guards against an older summary that hides a restart or a stop."""
    membership, clock, _ = _membership()
    other = 'entry-canolbarth-b-1'
    membership.record_heartbeat(other, HEARTBEAT)
    clock.advance(10)
    membership.record_peer_summaries((PeerSummary(other, 'old', 1, True, 11),))
    assert membership.incarnation_and_epoch(other) == ('one', 2)
    membership.record_peer_summaries((PeerSummary(other, 'new', 0, True, 1),))
    membership.record_peer_summaries((PeerSummary(other, 'old', 1, False, 2),))
    assert membership.incarnation_and_epoch(other) == ('new', 0)
    assert not membership.is_entry_usable(other)
    status = next(
        each for each in membership.entry_statuses() if each.name == other
    )
    assert (status.incarnation, status.leaving, status.silent_s) == (
        'new',
        True,
        10,
    )
