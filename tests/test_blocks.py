"""Tests of the map from client addresses to home domains.

They guard against addresses that get the home domain of another block,
because ranges were split or merged wrongly, or a longer prefix was hidden.
"""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist.blocks import NO_DOMAIN, BlockMap, RangeMap
from cuminhoist.settings import AddressBlock

KEYS = 64


# The derandomized examples depend on the source text of this test.
@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.integers(0, KEYS - 1),
            st.integers(1, KEYS),
            st.integers(0, 3),
        ),
        max_size=20,
    ),
)
def test_range_map_equals_naive_table(runs):
    """Guards against wrong splits and merges of ranges."""
    naive = [NO_DOMAIN] * KEYS
    found = RangeMap('I')
    for first, length, site in runs:
        count = min(length, KEYS - first)
        found.assign(first, count, site)
        naive[first : first + count] = [site] * count
    assert [found.find(key) for key in range(KEYS)] == naive
    changes = sum(
        left != right for left, right in zip(naive, naive[1:], strict=False)
    )
    assert len(found) <= changes + 2


def test_range_map_covers_the_last_key():
    """Guards against an overflow at the last IPv4 address."""
    range_map = RangeMap('I')
    range_map.assign(2**32 - 256, 256, 7)
    assert range_map.find(2**32 - 1) == 7
    assert range_map.find(2**32 - 257) == NO_DOMAIN


@pytest.mark.parametrize(
    ('address', 'home_domain'),
    [
        ('10.1.2.3', 'narrow'),
        ('10.1.3.1', 'wide'),
        ('10.2.0.1', None),
        ('2001:db8::1', 'six'),
        ('2001:db9::1', None),
        ('not an address', None),
    ],
)
def test_longest_prefix_wins(address, home_domain):
    """Guards against a short prefix that hides a longer one in it."""
    blocks = BlockMap.from_blocks(
        (
            AddressBlock(network='10.1.2.0/24', domain='narrow'),
            AddressBlock(network='10.1.0.0/16', domain='wide'),
            AddressBlock(network='2001:db8::/32', domain='six'),
        )
    )
    assert blocks.find(address) == home_domain


def test_bulk_load_equals_single_assignments():
    """Guards against bulk loads that differ from single assignments."""
    starts = range(0, 4096, 16)
    bulk = RangeMap('I')
    bulk.extend_sorted((start, start % 5) for start in starts)
    single = RangeMap('I')
    for start in starts:
        single.assign(start, 2**32 - start, start % 5)
    keys = [int(ipaddress.ip_address('0.0.0.0')) + step for step in range(5000)]
    assert [bulk.find(key) for key in keys] == [
        single.find(key) for key in keys
    ]
