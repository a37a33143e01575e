"""Tests of look-up answers: which entry instances, and in which order.

They guard against answers that name instances which are silent, leaving or
drained, that leave a client without another place when one fails, or that
shift many callers to one place or at one moment.
"""

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
    """All instances are usable, except for a given set."""

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


def entry_names(
    lookup, caller='acme', client_ip='10.3.0.9', service='catalogue'
):
    answer = lookup.find(service, caller, client_ip)
    return [entry.name for entry in answer.entries]


def test_home_domain_comes_first_then_other_domains_and_regions():
    """Guards against answers that name a single domain or region.

    A client with such an answer has no instance left when the domain or the
    region fails.
    """
    answer = make_lookup().find('catalogue', 'acme', '10.3.0.9')
    domains = [entry.domain for entry in answer.entries]
    assert answer.home == 'gogledd-a'
    assert domains[0] == 'gogledd-a'
    assert 'gogledd-b' in domains
    assert any(not domain.startswith('gogledd') for domain in domains)


def test_unusable_instances_are_left_out():
    """Guards against answers with an instance that is silent or leaving."""
    lookup = make_lookup(unusable=['entry-gogledd-a-1'])
    assert 'entry-gogledd-a-1' not in entry_names(lookup)


@pytest.mark.parametrize(
    ('scope', 'name'),
    [
        (DrainScope.entry, 'entry-gogledd-a-1'),
        (DrainScope.domain, 'gogledd-a'),
        (DrainScope.region, 'gogledd'),
    ],
)
def test_instances_of_drained_scopes_are_left_out(scope, name):
    """Guards against answers that ignore the drains of one scope."""
    lookup = make_lookup([Drain(scope=scope, name=name)])
    for caller in CALLERS[:50]:
        assert 'entry-gogledd-a-1' not in entry_names(lookup, caller)


def test_drained_region_shifts_evenly_to_the_others():
    """Guards against shifting all callers of a region to one other region."""
    lookup = make_lookup([Drain(scope=DrainScope.region, name='gogledd')])
    first_regions = collections.Counter(
        entry_names(lookup, caller)[0].removeprefix('entry-')[:4]
        for caller in CALLERS
    )
    assert len(first_regions) == 2
    assert min(first_regions.values()) >= len(CALLERS) / 2 * 0.8


def test_announced_drain_shifts_callers_gradually():
    """Guards against all callers shifting when an announced drain starts.

    The fraction of shifted callers must follow the ramp before the start.
    """
    clock = ManualClock(0)
    start = 10 * DRAIN_RAMP_S
    lookup = make_lookup(
        [Drain(scope=DrainScope.region, name='gogledd', starts_at=start)],
        clock=clock,
    )
    previous: set[str] = set()
    for step in range(11):
        clock.advance(
            start - DRAIN_RAMP_S + step * DRAIN_RAMP_S / 10 - clock.now()
        )
        shifted = {
            caller
            for caller in CALLERS
            if 'gogledd' not in entry_names(lookup, caller)[0]
        }
        assert previous <= shifted
        fraction = len(shifted) / len(CALLERS)
        assert abs(fraction - step / 10) < 0.06
        previous = shifted
    assert len(previous) == len(CALLERS)


def test_unknown_client_gets_the_domain_of_the_instance():
    """Guards against an error for clients whose address no block covers."""
    answer = make_lookup().find('catalogue', 'acme', '')
    assert answer.home == 'de-cymru-a'
