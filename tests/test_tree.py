"""Tests of the delivery tree.

They guard against overloaded parents, cycles, instances without a parent, and
failures that change the parents of many instances.
"""

import collections

import pytest

from cuminhoist.tree import MAX_CHILDREN, DeliveryTree

from .builders_delivery import grid_topology


@pytest.mark.parametrize(
    ('domains', 'per_domain', 'controls'),
    [(6, 2, 3), (4, 9, 3), (10, 20, 3), (73, 53, 19), (73, 53, 10)],
)
def test_fan_out_and_levels(domains, per_domain, controls):
    """Guards against overloaded parents, cycles and missing parents."""
    topology = grid_topology(domains, per_domain, controls)
    tree = DeliveryTree(topology)
    live = frozenset(entry.name for entry in topology.instances)
    # One tree per domain is enough to check in the largest deployment.
    checked = topology.instances if domains < 20 else topology.instances[:106]
    level = {entry.name: tree.level(entry.name, live) for entry in checked}
    children = collections.Counter()
    for entry in checked:
        parents = tree.parents(entry.name, live)
        if level[entry.name] == 0:
            assert entry.name not in parents
            continue
        children[parents[0]] += 1
        assert len(parents) >= min(controls, 2)
        for parent in parents:
            assert tree.level(parent, live) < level[entry.name]
    assert max(children.values()) <= MAX_CHILDREN
    assert max(level.values()) <= 3


def test_relays_of_all_domains_fit_below_the_control_replicas():
    """Guards against control replicas with more than eight children."""
    topology = grid_topology(73, 53, 19)
    tree = DeliveryTree(topology)
    live = frozenset(entry.name for entry in topology.instances)
    parent_of = tree._relay_parents(live)
    assert len(parent_of) == 73 * 2
    assert max(collections.Counter(parent_of.values()).values()) <= MAX_CHILDREN


def test_lost_relay_moves_few_children():
    """Guards against a failed relay that reassigns children of live parents."""
    topology = grid_topology(2, 30)
    tree = DeliveryTree(topology)
    live = frozenset(entry.name for entry in topology.instances)
    names = [name for name in live if tree.level(name, live) == 3]
    old_parents = {name: tree.parents(name, live)[0] for name in names}
    lost = old_parents[names[0]]
    new_parents = {name: tree.parents(name, live - {lost})[0] for name in names}
    assert lost not in new_parents.values()
    moved = [name for name in names if old_parents[name] != new_parents[name]]
    assert len(moved) <= 3 * MAX_CHILDREN
