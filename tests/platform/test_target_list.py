"""Tests of decoding the platform's list of targets.

Some entries of the list are malformed; the valid ones must still be used.
"""

import json

import msgspec
import pytest

from cuminhoist.platform.target_list import decode_entries
from cuminhoist.steering.targets import TargetState


def _entry(**changes):
    return {
        'backend': 'svc',
        'address': '10.128.0.9:8080',
        'zone': 'a',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'cold_remaining_ms': 1500,
        'born': 5,
        **changes,
    }


def _decode(**entries):
    raw = {
        name: msgspec.Raw(json.dumps(entry).encode())
        for name, entry in entries.items()
    }
    return decode_entries(raw)


def test_entry_is_decoded_into_our_names():
    """Guards against milliseconds and wire names inside the product."""
    (entry,) = _decode(i1=_entry())
    assert entry.service == 'svc'
    assert entry.domain == 'a'
    assert entry.warmup_left_s == 1.5
    assert entry.state is TargetState.ready
    assert entry.started_at_ms == 5


def test_malformed_entries_do_not_hide_the_others():
    """Guards against an empty list because of one malformed entry."""
    entries = _decode(
        good=_entry(),
        state=_entry(state='odd'),
        slots=_entry(slots='three'),
        place=_entry(address='nowhere'),
        born=_entry(born=1.5),
        short={'backend': 'svc'},
        other='text',
    )
    assert [entry.name for entry in entries] == ['good']


@pytest.mark.parametrize('name', ['', 'i1 ', 'i\r\n1', 'i\x7f', 'ié', 'i☃'])
def test_entry_whose_id_no_header_can_carry_is_skipped(name):
    """Guards against requests that fail because of the id of their target.

    The id is sent with each attempt.
    """
    assert [
        entry.name for entry in _decode(**{name: _entry(), 'i2': _entry()})
    ] == ['i2']
