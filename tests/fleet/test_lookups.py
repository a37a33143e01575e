"""Tests of the entry instances named in look-up answers.

They guard against callers that get a remote entry instance without need, or
none at all.
"""

from cuminhoist.fleet.instance_config import Address
from cuminhoist.fleet.lookups import (
    MAX_LOOKUP_ENTRIES,
    nearest_entries,
    turn,
)
from cuminhoist.fleet.messages import EntryEndpoint


def _entry(name, domain, region):
    return EntryEndpoint(name, Address(name, 80), domain, region)


ENTRIES = [
    _entry('e1', 'south-a', 'south'),
    _entry('e2', 'south-b', 'south'),
    _entry('e3', 'north-a', 'north'),
]


def test_callers_stay_in_their_region():
    """Guards against callers sent to another region without need."""
    hosts = [
        address.host for address in nearest_entries(ENTRIES, 'south', 'south-b')
    ]
    assert hosts == ['e2', 'e1']


def test_region_without_entries_uses_the_others():
    """Guards against an empty answer while other regions have entries."""
    assert len(nearest_entries(ENTRIES, 'middle', 'middle-a')) == 3


def test_answers_are_bounded():
    """Guards against answers longer than the platform reads."""
    many = [_entry(f'e{number}', 'a', 'south') for number in range(200)]
    assert len(nearest_entries(many, 'south', 'a')) == MAX_LOOKUP_ENTRIES


def test_instances_agree_on_their_turns():
    """Guards against two instances that try a poison request at once."""
    names = [entry.name for entry in ENTRIES]
    for key in ('p', 'q'):
        turns = {turn(key, name, names) for name in names}
        assert turns == {0, 1, 2}
    # One that is not yet on the list has a turn of its own.
    assert turn('p', 'new', names) in range(4)
