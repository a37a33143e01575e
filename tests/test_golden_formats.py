"""Formats of messages and stored records against earlier versions.

Instances of two versions run side by side while one replaces the other. The
golden files hold what each version in production wrote.
"""

import msgspec
import pytest
from returns.result import Failure, Success

from cuminhoist.codec import TAG_BYTES, Codec

from .builders_golden import (
    RECORD_TYPES,
    contains,
    describe,
    message_types,
    plain,
    read_golden_files,
    sample_of,
)

GOLDEN = read_golden_files()
MESSAGES = [
    (version, name)
    for version, golden in GOLDEN.items()
    for name in golden['messages']
]
RECORDS = [
    (version, name)
    for version, golden in GOLDEN.items()
    for name in golden['records']
]


@pytest.mark.parametrize(('version', 'name'), MESSAGES)
def test_message_of_an_earlier_version_is_read(version, name):
    """Guards against messages that are refused or read as something else."""
    message_types()
    golden = GOLDEN[version]['messages'][name]
    decoded = Codec('golden', 'receiver').decode(bytes.fromhex(golden['frame']))
    assert isinstance(decoded, Success), decoded
    received = decoded.unwrap()
    assert received.sender == 'sender'
    assert contains(plain(received.message), golden['content'])


@pytest.mark.parametrize(('version', 'name'), RECORDS)
def test_record_of_an_earlier_version_is_read(version, name):
    """Guards against an upgrade that loses what is on the disk."""
    golden = GOLDEN[version]['records'][name]
    record = msgspec.msgpack.decode(
        bytes.fromhex(golden['record']), type=RECORD_TYPES[name]
    )
    assert contains(plain(record), golden['content'])


@pytest.mark.parametrize(('version', 'name'), MESSAGES)
def test_earlier_version_reads_the_present_message(version, name):
    """Guards against fields that an instance not yet replaced cannot read.

    It ignores further fields at the end; those that it knows must keep their
    place and type.
    """
    struct = GOLDEN[version]['messages'][name]['struct']
    present = describe(message_types()[name])
    _assert_readable(GOLDEN[version]['structs'], struct, present)


@pytest.mark.parametrize(('version', 'name'), RECORDS)
def test_earlier_version_reads_the_present_record(version, name):
    """Guards against a disk that no instance reads after a rollback."""
    struct = GOLDEN[version]['records'][name]['struct']
    present = describe(RECORD_TYPES[name])
    _assert_readable(GOLDEN[version]['structs'], struct, present)


@pytest.mark.parametrize('name', sorted(message_types()))
def test_further_fields_of_a_later_version_are_ignored(name):
    """Guards against a message that a later version extends and loses so."""
    message_type = message_types()[name]
    codec = Codec('golden', 'sender')
    frame = codec.encode(sample_of(message_type))
    envelope = msgspec.msgpack.decode(frame[TAG_BYTES:])
    envelope[2].append({'later': 1})
    body = msgspec.msgpack.encode(envelope)
    decoded = codec.decode(codec._compute_tag(body) + body)
    assert isinstance(decoded, Success)
    assert decoded.unwrap().message == sample_of(message_type)


def test_unknown_message_of_a_later_version_is_refused_by_name():
    """Guards against a message that is dropped without a reason."""
    codec = Codec('golden', 'sender')
    body = msgspec.msgpack.encode(['LaterMessage', 'sender', []])
    decoded = codec.decode(codec._compute_tag(body) + body)
    assert decoded == Failure("unknown message 'LaterMessage'")


def _assert_readable(golden_structs, struct, present):
    golden = golden_structs[struct]
    written = present[struct]
    assert written['array'] == golden['array']
    assert written['tag'] == golden['tag']
    count = len(golden['fields'])
    known = [field[:2] for field in golden['fields']]
    if golden['array']:
        assert [field[:2] for field in written['fields'][:count]] == known
        later = written['fields'][count:]
    else:
        assert all(
            field in [row[:2] for row in written['fields']] for field in known
        )
        later = [row for row in written['fields'] if row[:2] not in known]
    # The earlier version writes the message without the later fields.
    assert not [field for field in later if field[2]]
    for inner in _structs_named_in(golden, golden_structs):
        if inner != struct:
            _assert_readable(golden_structs, inner, present)


def _structs_named_in(golden, golden_structs):
    words = {
        word
        for _, text, _ in golden['fields']
        for word in text.replace('[', ' ').replace(']', ' ').split()
    }
    return sorted(words & golden_structs.keys())
