"""Tests of decoding the platform's list of targets.

Some entries of the list are malformed; the valid ones must still be used.
"""

import json

import msgspec

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


def test_entry_with_an_unreadable_id_is_skipped():
    """Guards against an id that no header can carry to the target."""
    entries = _decode(
        **{
            'good': _entry(),
            'i-\ufffd': _entry(),
            'i 2': _entry(),
            'i-3\n': _entry(),
            '': _entry(),
        }
    )
    assert [entry.name for entry in entries] == ['good']


def test_entry_with_an_address_that_is_no_ip_number_is_skipped():
    """Guards against a name look-up for each attempt at such a target."""
    entries = _decode(
        good=_entry(),
        name=_entry(address='host.example:8080'),
        unreadable=_entry(address='10.128.\ufffd.9:8080'),
        port=_entry(address='10.128.0.9:99999'),
    )
    assert [entry.name for entry in entries] == ['good']
