"""The bound on open connections, and who has to make room.

They guard against clients that hold connections and keep all others out.
"""

import pytest

from cuminhoist.connection_limit import (
    LimitedConnection,
    Occupation,
    Place,
    make_room,
)
from cuminhoist.descriptor_limits import (
    FILE_DESCRIPTORS,
    MIN_DESCRIPTORS,
    DescriptorLimits,
)


class _Connection(LimitedConnection):
    def __init__(self, occupation: Occupation, since: float = 0) -> None:
        self.aborted = False
        self._place = Place(occupation, since)

    @property
    def place(self) -> Place:
        return self._place

    def abort(self) -> None:
        self.aborted = True


def _aborted(most, *conns):
    new = _Connection(Occupation.unused, since=9)
    make_room(new, [*conns, new], most)
    return [conn.aborted for conn in (*conns, new)]


def test_unused_and_idle_connections_make_room():
    """Guards against closing connections whose callers wait for an answer."""
    occupations = list(reversed(Occupation))
    conns = [_Connection(occupation) for occupation in occupations]
    assert _aborted(5, *conns) == [False, False, False, False, True, False]


def test_the_longest_silence_goes_first():
    """Guards against closing the connections of callers that have just come."""
    conns = [_Connection(Occupation.idle, since) for since in (3, 1, 2)]
    assert _aborted(3, *conns) == [False, True, False, False]


def test_new_connection_is_closed_if_all_others_are_served():
    """Guards against answers that are lost to a flood of connections."""
    conns = [_Connection(Occupation.serving) for _ in range(3)]
    assert _aborted(3, *conns) == [False, False, False, True]
    assert _aborted(4, *conns) == [False, False, False, False]


@pytest.mark.parametrize('descriptors', [1, MIN_DESCRIPTORS, 1024, 4096])
def test_shares_stay_below_the_descriptors(descriptors):
    """Guards against limits that together exceed that of the process."""
    limits = DescriptorLimits.from_descriptors(descriptors)
    entry = (
        limits.requests
        + limits.targets
        + limits.lookups
        + limits.relays
        + 2 * limits.probes
    )
    control = 2 * limits.operators + limits.probes + limits.unknown_links
    left = max(descriptors, MIN_DESCRIPTORS) - FILE_DESCRIPTORS
    assert 0 < entry < left
    assert 0 < control < left


def test_unlimited_descriptors_give_no_limit():
    """Guards against a limit where the platform names none."""
    assert DescriptorLimits.from_descriptors(0) == DescriptorLimits()
