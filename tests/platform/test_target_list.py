"""Tests of decoding the platform's list of targets.

Some entries of the list are malformed; the valid ones must still be used.
"""

import json

from cuminhoist.platform.target_list import decode_page
from cuminhoist.steering.targets import TargetState

from .odd_entries import entry


def _decode(**entries):
    """Return the targets of a page with these entries by id."""
    content = json.dumps({'instances': entries}).encode()
    return decode_page(content).unwrap().targets


def test_entry_is_decoded_into_our_names():
    """Guards against milliseconds and wire names inside the product."""
    (target,) = _decode(i1=entry())
    assert target.service == 'svc'
    assert target.domain == 'a'
    assert target.warmup_left_s == 1.5
    assert target.state is TargetState.ready
    assert target.started_at_ms == 5


def test_malformed_entries_do_not_hide_the_others():
    """Guards against an empty list because of one malformed entry."""
    entries = _decode(
        good=entry(),
        state=entry(state='odd'),
        slots=entry(slots='three'),
        place=entry(address='nowhere'),
        born=entry(born=1.5),
        short={'backend': 'svc'},
        other='text',
    )
    assert [target.name for target in entries] == ['good']


def test_entry_with_an_unreadable_id_is_skipped():
    """Guards against an id that no header can carry to the target."""
    entries = _decode(
        **{
            'good': entry(),
            'i-\ufffd': entry(),
            'i 2': entry(),
            'i-3\n': entry(),
            '': entry(),
        }
    )
    assert [target.name for target in entries] == ['good']


def test_entry_with_an_address_that_is_no_ip_number_is_skipped():
    """Guards against a name look-up for each attempt at such a target."""
    entries = _decode(
        good=entry(),
        name=entry(address='host.example:8080'),
        unreadable=entry(address='10.128.\ufffd.9:8080'),
        port=entry(address='10.128.0.9:99999'),
    )
    assert [target.name for target in entries] == ['good']
