"""Signed hop headers that are replayed, moved, late or damaged.

A forged or replayed header must not count as one of another instance.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist import hop_signing
from cuminhoist.clock import ManualClock
from cuminhoist.hop_signing import Hop, HopRequest, HopSigner

ORIGIN = Hop('entry-1', 'domain-1', 'region-1', '', 0, '')
REQUEST = HopRequest('POST', '/publisher/a?b', 'acme')


def make_signer(instance='entry-2', key='key', clock=None):
    return HopSigner(key, instance, clock or ManualClock())


def sign_header(key='key', timeout_s=2.0):
    return make_signer('entry-1', key).sign(
        REQUEST, 'entry-2', ORIGIN, timeout_s
    )


def test_valid_once():
    """Guards against a replayed header at its own or another instance."""
    receiver = make_signer()
    text = sign_header()
    hop = receiver.verify(text, REQUEST).unwrap()
    assert hop.origin == ORIGIN.origin
    assert (hop.domain, hop.region) == (ORIGIN.domain, ORIGIN.region)
    assert receiver.verify(text, REQUEST).failure().reason == 'used before'
    other = make_signer('entry-3').verify(text, REQUEST).failure()
    assert (other.reason, other.forged) == ('sent to another instance', False)


@pytest.mark.parametrize(
    'other_request',
    [
        HopRequest('GET', '/publisher/a?b', 'acme'),
        HopRequest('POST', '/publisher/a?c', 'acme'),
        HopRequest('POST', '/publisher/a?b', 'evil'),
    ],
)
def test_bound_to_the_request(other_request):
    """Guards against a header copied to another request or made without key."""
    assert make_signer().verify(sign_header(), other_request).failure().forged
    assert make_signer().verify(sign_header(key='x'), REQUEST).failure().forged


def test_window():
    """Guards against a nonce dropped while its header is still accepted.

    The header is accepted until its expiry plus the allowed clock skew.
    """
    clock = ManualClock()
    receiver = make_signer(clock=clock)
    text = sign_header()
    receiver.verify(text, REQUEST).unwrap()
    clock.advance(2 + hop_signing.MAX_CLOCK_SKEW_S - 0.001)
    assert receiver.verify(text, REQUEST).failure().reason == 'used before'
    clock.advance(0.002)
    assert receiver.verify(text, REQUEST).failure().reason == 'expired'
    receiver.verify(sign_header_at(clock), REQUEST).unwrap()
    assert len(receiver._expiry_by_nonce) == 1


def sign_header_at(clock):
    return make_signer('entry-1', clock=clock).sign(
        REQUEST, 'entry-2', ORIGIN, 1.0
    )


def test_memory_is_bounded(monkeypatch):
    """Guards against unbounded memory for nonces; new hops are refused."""
    monkeypatch.setattr(hop_signing, 'MAX_NONCES', 2)
    receiver = make_signer()
    outcomes = [receiver.verify(sign_header(), REQUEST) for _ in range(3)]
    assert outcomes[2].failure().reason == 'too many hops'


@settings(derandomize=True)
@given(st.text(max_size=80), st.integers(0, 200), st.binary(max_size=1))
def test_damaged_headers_are_forged(text, index, replacement):
    """Guards against a crash on, or acceptance of, a damaged header."""
    valid = sign_header()
    damaged = valid[:index] + replacement.decode('latin-1') + valid[index + 1 :]
    for candidate in (text, damaged):
        if candidate != valid:
            assert make_signer().verify(candidate, REQUEST).failure().forged
