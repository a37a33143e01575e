"""Tests of membership: which source says that something leaves."""

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
CELL_OWN, CELL_PEER = 'entry-de-cymru-a-1', 'entry-de-cymru-a-2'
TARGET = next(
    target for target in TOPOLOGY.targets if target.domain == 'gogledd-a'
)
LIVE = Heartbeat(incarnation='one', epoch=2)


def _membership(name=OWN):
    clock, cfg = ManualClock(), ConfigInForce()
    return Membership(TOPOLOGY, name, clock, cfg), clock, cfg


def _platform(*leaving):
    return PlatformList(leaving=frozenset(leaving))


@pytest.mark.parametrize(
    'scope,name,target_out,entry_out',
    [
        (DrainScope.upstream, TARGET.name, True, False),
        (DrainScope.entry, OWN, False, True),
        (DrainScope.domain, 'gogledd-a', True, True),
        (DrainScope.region, 'gogledd', True, True),
        (DrainScope.domain, 'gogledd-b', False, False),
        (DrainScope.entry, TARGET.name, False, False),
    ],
)
def test_drains_start_at_their_time(scope, name, target_out, entry_out):
    """Guards against drains that act on the wrong part or too early."""
    members, clock, cfg = _membership()
    drain = Drain(scope=scope, name=name, starts_at=clock.wall() + 5)
    cfg.replace_if_newer(Configuration(version=1, drains=(drain,)))
    assert not members.is_target_leaving(TARGET.name)
    assert members.is_entry_usable(OWN)
    clock.advance(5)
    assert members.is_target_leaving(TARGET.name) == target_out
    assert members.is_entry_usable(OWN) != entry_out
    cfg.replace_if_newer(Configuration(version=2))
    assert not members.is_target_leaving(TARGET.name)


def test_platform_adds_leaving_but_decides_on_no_life():
    """Guards against a list that lags or misleads."""
    members, clock, _ = _membership(CELL_OWN)
    members.record_heartbeat(CELL_PEER, LIVE)
    members.replace_platform_list(_platform(CELL_PEER, TARGET.name))
    assert members.is_target_leaving(TARGET.name)
    assert not members.is_entry_usable(CELL_PEER)
    members.replace_platform_list(_platform())
    assert not members.is_target_leaving(TARGET.name)
    assert members.is_entry_usable(CELL_PEER)
    clock.advance(TAKEOVER_S + 1)
    members.replace_platform_list(PlatformList(live=frozenset([CELL_PEER])))
    assert not members.is_entry_usable(CELL_PEER)


def test_own_signal_outlives_the_platform_list():
    """Guards against a list that cancels a mark from another source."""
    members, _, _ = _membership()
    members.mark_target_leaving(TARGET.name)
    members.replace_platform_list(_platform(TARGET.name))
    members.replace_platform_list(PlatformList(live=frozenset([TARGET.name])))
    assert members.is_target_leaving(TARGET.name)
    assert members.own_leaving_targets == (TARGET.name,)


def test_marks_of_peers_count_while_they_are_recent():
    """Guards against marks that nobody can remove."""
    members, clock, _ = _membership(CELL_OWN)
    marked = Heartbeat(incarnation='one', leaving_targets=(TARGET.name,))
    members.record_heartbeat(CELL_PEER, marked)
    assert members.is_target_leaving(TARGET.name)
    members.record_heartbeat(CELL_PEER, LIVE)
    assert not members.is_target_leaving(TARGET.name)
    members.record_heartbeat(CELL_PEER, marked)
    clock.advance(MARK_LIFETIME_S + 1)
    assert not members.is_target_leaving(TARGET.name)


def test_absence_of_news_is_no_evidence_outside_the_reach():
    """Guards against excluding instances that are never asked."""
    members, clock, _ = _membership()
    partners = {entry.name for entry in cross_domain_partners(TOPOLOGY, OWN)}
    far = [
        entry.name
        for entry in TOPOLOGY.entry_instances()
        if entry.domain != 'gogledd-a'
    ]
    clock.advance(PARTNER_SILENT_S + 1)
    for name in far:
        assert members.is_entry_usable(name) == (name not in partners)
    for name in partners:
        members.record_heartbeat(name, LIVE)
    assert all(members.is_entry_usable(name) for name in far)


def test_briefs_count_by_age():
    """Guards against an older report that hides a restart or a stop."""
    members, clock, _ = _membership()
    far = 'entry-canolbarth-b-1'
    members.record_heartbeat(far, LIVE)
    clock.advance(10)
    members.record_peer_summaries((PeerSummary(far, 'old', 1, True, 11),))
    assert members.incarnation_and_epoch(far) == ('one', 2)
    members.record_peer_summaries((PeerSummary(far, 'new', 0, True, 1),))
    members.record_peer_summaries((PeerSummary(far, 'old', 1, False, 2),))
    assert members.incarnation_and_epoch(far) == ('new', 0)
    assert not members.is_entry_usable(far)
    view = next(each for each in members.entry_statuses() if each.name == far)
    assert (view.incarnation, view.leaving, view.silent_s) == ('new', True, 10)
