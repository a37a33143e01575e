"""Tests of signed hop headers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist import hop_signing
from cuminhoist.clock import ManualClock
from cuminhoist.hop_signing import Hop, HopRequest, HopSigner

ORIGIN = Hop('entry-1', 'domain-1', 'region-1', '', 0, '')
ROUTE = HopRequest('POST', '/publisher/a?b', 'acme')


def signer(instance='entry-2', key='key', clock=None):
    return HopSigner(key, instance, clock or ManualClock())


def header(key='key', timeout_s=2.0):
    return signer('entry-1', key).sign(ROUTE, 'entry-2', ORIGIN, timeout_s)


def test_valid_once():
    """Guards against a replay on the same or another instance."""
    receiver = signer()
    text = header()
    hop = receiver.verify(text, ROUTE).unwrap()
    assert hop.origin == ORIGIN.origin
    assert (hop.domain, hop.region) == (ORIGIN.domain, ORIGIN.region)
    assert receiver.verify(text, ROUTE).failure().reason == 'used before'
    other = signer('entry-3').verify(text, ROUTE).failure()
    assert (other.reason, other.forged) == ('sent to another instance', False)


@pytest.mark.parametrize(
    'route',
    [
        HopRequest('GET', '/publisher/a?b', 'acme'),
        HopRequest('POST', '/publisher/a?c', 'acme'),
        HopRequest('POST', '/publisher/a?b', 'evil'),
    ],
)
def test_bound_to_the_request(route):
    """Guards against the header of one request used for another one."""
    assert signer().verify(header(), route).failure().forged
    assert signer().verify(header(key='x'), ROUTE).failure().forged


def test_window():
    """Guards against a nonce that is forgotten while it is still valid."""
    clock = ManualClock()
    receiver = signer(clock=clock)
    text = header()
    receiver.verify(text, ROUTE).unwrap()
    clock.advance(2 + hop_signing.MAX_SKEW_S - 0.001)
    assert receiver.verify(text, ROUTE).failure().reason == 'used before'
    clock.advance(0.002)
    assert receiver.verify(text, ROUTE).failure().reason == 'expired'
    receiver.verify(header_at(clock), ROUTE).unwrap()
    assert len(receiver._seen) == 1


def header_at(clock):
    return signer('entry-1', clock=clock).sign(ROUTE, 'entry-2', ORIGIN, 1.0)


def test_memory_is_bounded(monkeypatch):
    """Guards against nonces without bound; new hops are refused instead."""
    monkeypatch.setattr(hop_signing, 'MAX_NONCES', 2)
    receiver = signer()
    outcomes = [receiver.verify(header(), ROUTE) for _ in range(3)]
    assert outcomes[2].failure().reason == 'too many hops'


@settings(derandomize=True)
@given(st.text(max_size=80), st.integers(0, 200), st.binary(max_size=1))
def test_damaged_headers_are_forged(text, place, change):
    """Guards against a crash or acceptance of a damaged header."""
    good = header()
    damaged = good[:place] + change.decode('latin-1') + good[place + 1 :]
    for candidate in (text, damaged):
        if candidate != good:
            assert signer().verify(candidate, ROUTE).failure().forged
