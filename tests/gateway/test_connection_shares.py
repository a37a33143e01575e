"""Connections to targets, shared between the services of an instance.

They guard against a service without answers that takes all of them.
"""

from cuminhoist.gateway.connection_shares import ConnectionShares


def _claim_all(shares, service):
    count = 0
    while shares.claim(service):
        count += 1
    return count


def test_one_service_leaves_room_for_others():
    """Guards against requests of other services that find no connection."""
    shares = ConnectionShares(60)
    assert _claim_all(shares, 'silent') == 30
    assert _claim_all(shares, 'sound') == 15
    shares.release('silent')
    assert shares.claim('sound')


def test_without_a_limit_all_are_given():
    """Guards against a limit where the platform names none."""
    shares = ConnectionShares()
    assert all(shares.claim('sound') for _ in range(10_000))
