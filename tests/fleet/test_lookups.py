"""Tests of where callers are told to connect."""

from cuminhoist.fleet.instance_config import Address
from cuminhoist.fleet.lookups import MAX_LOOKUP_ENTRIES, nearest_entries
from cuminhoist.fleet.messages import EntryEndpoint


def _entry(name, domain, region):
    return EntryEndpoint(name, Address(name, 80), domain, region)


ENTRIES = [
    _entry('e1', 'south-a', 'south'),
    _entry('e2', 'south-b', 'south'),
    _entry('e3', 'north-a', 'north'),
]


def test_callers_stay_in_their_region():
    """Guards against callers that are sent to another region for nothing."""
    hosts = [
        address.host for address in nearest_entries(ENTRIES, 'south', 'south-b')
    ]
    assert hosts == ['e2', 'e1']


def test_region_without_entries_uses_the_others():
    """Guards against callers without any place to go."""
    assert len(nearest_entries(ENTRIES, 'middle', 'middle-a')) == 3


def test_answers_are_bounded():
    """Guards against answers that callers do not read."""
    many = [_entry(f'e{number}', 'a', 'south') for number in range(200)]
    assert len(nearest_entries(many, 'south', 'a')) == MAX_LOOKUP_ENTRIES
