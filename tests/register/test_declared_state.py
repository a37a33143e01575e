"""Tests of the declared state that builds of several versions write.

They guard against a state that one build writes and another reads wrongly.
"""

import msgspec

from cuminhoist.fleet.instance_config import Address
from cuminhoist.register.declared_state import (
    DeclaredState,
    ReplaceVoters,
    apply_order,
    is_same_state,
)

FOUNDERS = tuple(Address(f'10.{number}.0.1', 7000) for number in range(6))
STATE = DeclaredState.from_founders(FOUNDERS)
_FIELDS = msgspec.msgpack.decode(msgspec.msgpack.encode(STATE))
_FIELDS.pop('founding_size')
#: The same state, as a build writes it that does not know the founding size.
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
