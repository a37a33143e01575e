"""Tests of the declared state that builds of several versions write.

They guard against a state that one build writes and another reads wrongly.
"""

import msgspec
import pytest

from cuminhoist.fleet.instance_config import Address
from cuminhoist.register.declared_state import (
    DeclaredState,
    DrainDomain,
    ReplaceConfiguration,
    ReplaceVoters,
    apply_order,
    finish_voter_change,
    is_same_state,
)

FOUNDERS = tuple(Address(f'10.{number}.0.1', 7000) for number in range(6))
STATE = DeclaredState.from_founders(FOUNDERS)
_FIELDS = msgspec.msgpack.decode(msgspec.msgpack.encode(STATE))
for _name in ('founding_size', 'drain_indexes'):
    _FIELDS.pop(_name)
#: The same state, as a build writes it that does not know these fields.
OLDER = msgspec.msgpack.decode(
    msgspec.msgpack.encode(_FIELDS), type=DeclaredState
)


def test_state_of_an_older_build_is_the_same_state():
    """Guards against a change of voters that is never finished.

    The proposer finds its joint state in the form of an older build.
    """
    assert OLDER.founding_size == 0
    assert is_same_state(OLDER, STATE)
    assert not is_same_state(
        msgspec.structs.replace(OLDER, drained=frozenset('a')), STATE
    )


def test_founding_size_is_found_again():
    """Guards against a deployment whose size is lost with an older build."""
    order = ReplaceVoters(seen=0, voters=OLDER.voters[1:])
    assert apply_order(OLDER, order).founding_size == 6


@pytest.mark.parametrize(
    'other_order',
    [
        ReplaceConfiguration(version=1, body=b'{}'),
        DrainDomain(domain='a', drained=True, seen=0),
    ],
)
def test_change_of_voters_behind_another_order(other_order):
    """Guards against a change of voters that other orders make void."""
    order = ReplaceVoters(seen=0, voters=STATE.voters[1:], former=STATE.voters)
    state = apply_order(apply_order(STATE, other_order), order)
    assert state.voters == STATE.voters[1:]
    assert state.former == STATE.voters


def test_change_of_other_voters_has_no_effect():
    """Guards against voters that were derived from those of another time.

    A second change would undo the first, or start in its joint configuration.
    """
    order = ReplaceVoters(seen=0, voters=STATE.voters[1:], former=STATE.voters)
    joint = apply_order(STATE, order)
    assert apply_order(joint, order) == joint
    finished = finish_voter_change(joint)
    assert apply_order(finished, order) == finished


def test_change_of_voters_of_an_older_build():
    """Guards against another meaning of an order while two builds run."""
    order = ReplaceVoters(seen=STATE.index, voters=STATE.voters[1:])
    assert apply_order(STATE, order).voters == STATE.voters[1:]
    newer = apply_order(STATE, DrainDomain(domain='a', drained=True, seen=0))
    assert apply_order(newer, order) == newer


class _OlderDrainDomain(msgspec.Struct, frozen=True, array_like=True):
    """An order as builds read and write it that do not know its age."""

    domain: str
    drained: bool


def test_drain_of_an_older_build_is_applied():
    """Guards against orders that are lost while two builds run."""
    frame = msgspec.msgpack.encode(_OlderDrainDomain('a', drained=True))
    order = msgspec.msgpack.decode(frame, type=DrainDomain)
    assert apply_order(STATE, order).drained == {'a'}


def test_older_build_reads_a_drain():
    """Guards against an order that an older build cannot decode."""
    frame = msgspec.msgpack.encode(
        DrainDomain(domain='a', drained=True, seen=7)
    )
    older = msgspec.msgpack.decode(frame, type=_OlderDrainDomain)
    assert older == _OlderDrainDomain('a', drained=True)


@pytest.mark.parametrize('drained', [frozenset(), frozenset('a')])
def test_first_configuration_may_have_version_zero(drained):
    """Guards against a first configuration that is dropped (CONFIG)."""
    former = msgspec.structs.replace(STATE, drained=drained)
    state = apply_order(former, ReplaceConfiguration(version=0, body=b'{}'))
    assert state.body == b'{}'
    # The same version again changes nothing, whatever it holds.
    again = ReplaceConfiguration(version=0, body=b'[]')
    assert apply_order(state, again) == state
    newer = apply_order(state, ReplaceConfiguration(version=1, body=b'[]'))
    assert newer.body == b'[]'


def test_older_build_reads_version_zero():
    """Guards against another form of states without a configuration."""
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(STATE))
    assert (fields['version'], fields['body']) == (0, b'')
