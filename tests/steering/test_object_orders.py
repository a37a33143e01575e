"""Tests of the orders of objects over the targets of a region.

They guard against dispatchers that send an object to unlike targets, each of
which then misses its cache.
"""

import random

from cuminhoist.rendezvous import ranked
from cuminhoist.steering.object_orders import RANK_COUNT, ObjectOrders


def _names(start, end):
    return [f't{number}' for number in range(start, end)]


def test_order_is_the_start_of_the_whole_order():
    """Guards against orders that differ between processes."""
    names = _names(0, 200)
    for key in ('a', 'b', 'c'):
        first = ObjectOrders(names).first_names(key)
        assert first == ranked(key, names)[:RANK_COUNT]


def test_order_follows_changes_of_the_targets():
    """Guards against an adapted order that differs from a new one."""
    rng = random.Random(1)
    names = set(_names(0, 60))
    orders = ObjectOrders(names)
    keys = [f'k{number}' for number in range(20)]
    for step in range(120):
        for _ in range(rng.randrange(4)):
            names.discard(rng.choice(sorted(names)))
        for _ in range(rng.randrange(4)):
            names.add(f'n{step}-{rng.randrange(1000)}')
        if step % 40 == 39:
            names = set(rng.sample(sorted(names), 10))
        orders.replace_names(names)
        for key in rng.sample(keys, 5):
            assert orders.first_names(key) == ranked(key, names)[:RANK_COUNT]


def test_no_targets_give_an_empty_order():
    """Guards against an error in a region without targets."""
    orders = ObjectOrders(['a'])
    assert orders.first_names('k') == ['a']
    orders.replace_names([])
    assert orders.first_names('k') == []
    orders.replace_names(['b'])
    assert orders.first_names('k') == ['b']
