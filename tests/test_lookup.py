"""Tests of the order in which callers should use entry instances."""

import collections

import pytest

from cuminhoist.blocks import BlockMap
from cuminhoist.clock import ManualClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.config_model import Configuration, Drain
from cuminhoist.lookup import DRAIN_RAMP_S, DrainPlan, EntryView, Lookup
from cuminhoist.types import DrainScope

from . import builders

CALLERS = [f'caller-{number}' for number in range(600)]


class FakeView(EntryView):
    """A view with a set of unusable instances."""

    def __init__(self, unusable=()):
        self.unusable = set(unusable)

    def is_usable(self, name):
        return name not in self.unusable

    def ticket_of(self, name):
        return f'{name}.1.1'


def make_lookup(drains=(), unusable=(), clock=None):
    topology = builders.example_topology()
    in_force = ConfigInForce()
    in_force.replace_if_newer(Configuration(version=1, drains=tuple(drains)))
    return Lookup(
        topology,
        topology.entry_instances()[0],
        BlockMap.from_blocks(topology.blocks),
        FakeView(unusable),
        DrainPlan(in_force, clock or ManualClock()),
    )


def names(lookup, caller='acme', client='10.3.0.9', service='catalogue'):
    answer = lookup.find(service, caller, client)
    return [entry.name for entry in answer.entries]


def test_home_comes_first_and_other_places_follow():
    """Guards against clients whose cached answer names one place only."""
    answer = make_lookup().find('catalogue', 'acme', '10.3.0.9')
    domains = [entry.domain for entry in answer.entries]
    assert answer.home == 'gogledd-a'
    assert domains[0] == 'gogledd-a'
    assert 'gogledd-b' in domains
    assert any(not domain.startswith('gogledd') for domain in domains)


def test_unusable_instances_are_left_out():
    """Guards against naming an instance that is dead or leaving."""
    lookup = make_lookup(unusable=['entry-gogledd-a-1'])
    assert 'entry-gogledd-a-1' not in names(lookup)


@pytest.mark.parametrize(
    ('scope', 'name'),
    [
        (DrainScope.entry, 'entry-gogledd-a-1'),
        (DrainScope.domain, 'gogledd-a'),
        (DrainScope.region, 'gogledd'),
    ],
)
def test_drained_parts_are_left_out(scope, name):
    """Guards against look-ups that ignore one scope of drains."""
    lookup = make_lookup([Drain(scope=scope, name=name)])
    for caller in CALLERS[:50]:
        assert 'entry-gogledd-a-1' not in names(lookup, caller)


def test_lost_region_spreads_over_the_others():
    """Guards against moving all callers of a lost region to one other."""
    lookup = make_lookup([Drain(scope=DrainScope.region, name='gogledd')])
    first = collections.Counter(
        names(lookup, caller)[0].removeprefix('entry-')[:4]
        for caller in CALLERS
    )
    assert len(first) == 2
    assert min(first.values()) >= len(CALLERS) / 2 * 0.8


def test_announced_drain_moves_callers_step_by_step():
    """Guards against a sudden shift at the start of an announced drain."""
    clock = ManualClock(0)
    start = 10 * DRAIN_RAMP_S
    lookup = make_lookup(
        [Drain(scope=DrainScope.region, name='gogledd', starts_at=start)],
        clock=clock,
    )
    previous: set[str] = set()
    for step in range(11):
        clock.advance(start - DRAIN_RAMP_S + step * DRAIN_RAMP_S / 10 - clock.now())
        moved = {
            caller
            for caller in CALLERS
            if 'gogledd' not in names(lookup, caller)[0]
        }
        assert previous <= moved
        share = len(moved) / len(CALLERS)
        assert abs(share - step / 10) < 0.06
        previous = moved
    assert len(previous) == len(CALLERS)


def test_unknown_client_belongs_to_the_asked_instance():
    """Guards against an error for clients outside all blocks."""
    answer = make_lookup().find('catalogue', 'acme', '')
    assert answer.home == 'de-cymru-a'
