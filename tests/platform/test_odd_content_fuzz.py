"""Random odd content in the list of targets, configurations and settings.

The tests guard against an error where a fault is a value, against an entry
that costs others, and against content that cannot be passed on.
"""

import json

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from cuminhoist.fleet.messages import TargetList
from cuminhoist.platform.boot import load_settings
from cuminhoist.platform.configuration import check_order, decode_routes
from cuminhoist.platform.target_list import decode_page
from cuminhoist.register.declared_state import ReplaceConfiguration
from tests.odd_strategies import ODD_VALUES, changed, odd_text

from .odd_entries import encoded, entry, page
from .test_boot import SETTINGS
from .test_configuration import _wire

CASES = settings(max_examples=300, derandomize=True, deadline=None)
_NAMES = st.sampled_from(['odd', '', 'i 2', '\ud800', '\x02', 'x' * 300])


@CASES
@given(
    st.lists(
        st.tuples(_NAMES, changed(entry()) | ODD_VALUES, st.booleans()),
        max_size=4,
    )
)
def test_odd_entries_cost_only_themselves(odd):
    """Guards against a list that odd entries shorten, and against errors."""
    members = [(name, odd_text(value, raw=raw)) for name, value, raw in odd]
    content = page(('a', encoded()), *members, ('b', encoded()), token='t')
    read = decode_page(content).unwrap()
    names = [target.name for target in read.targets]
    assert (names[0], names[-1], read.next_token) == ('a', 'b', 't')
    assert len(read.targets) + len(read.rejected) <= len(odd) + 2
    assert not any(target.fault() for target in read.targets)
    msg = TargetList(age_s=0, targets=read.targets)
    frame = msgspec.msgpack.encode(msg)
    assert msgspec.msgpack.decode(frame, type=TargetList) == msg
    msgspec.json.encode(read.rejected)


@CASES
@given(changed(_wire()), st.booleans())
def test_odd_configuration_is_refused_or_carried(content, raw):
    """Guards against an order that instances cannot tell each other."""
    text = odd_text(content, raw=raw)
    body = text.encode('utf-8', 'surrogatepass')
    checked = check_order(body)
    if isinstance(checked, Failure):
        msgspec.json.encode(checked.failure())
        return
    table = checked.unwrap()
    assert isinstance(decode_routes(body), Success)
    msgspec.msgpack.encode(
        ReplaceConfiguration(version=table.version, body=body)
    )
    for routes in table.hosts.values():
        msgspec.msgpack.encode(routes)


@CASES
@given(changed(SETTINGS), st.booleans())
def test_odd_settings_are_values(tmp_path_factory, content, raw):
    """Guards against the end of the task that watches the settings."""
    path = tmp_path_factory.getbasetemp() / 'odd.json'
    text = odd_text(content, raw=raw)
    path.write_bytes(text.encode('utf-8', 'surrogatepass'))
    loaded = load_settings(path)
    if isinstance(loaded, Success):
        json.dumps([str(seed) for seed in loaded.unwrap().seeds])
