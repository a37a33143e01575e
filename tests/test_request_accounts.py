"""Accounts: exactly one outcome each, monotone sums, bounded memory."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist.account_records import AccountSnapshot, Outcome
from cuminhoist.clock import ManualClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.ledger import AccountLedger
from cuminhoist.request_accounts import OTHER_NAME, RequestAccounts

from .builders import example_topology
from .builders_admission import config_of


def accounts_at(clock, instance='e1', incarnation='1', in_force=None):
    """Return accounts with the callers c0 and c1."""
    in_force = in_force or ConfigInForce()
    in_force.replace_if_newer(config_of(1, 90, 2, (1, 1)))
    topology = example_topology()
    return RequestAccounts(clock, topology, in_force, instance, incarnation)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.lists(st.sampled_from(list(Outcome)), max_size=3),
        ),
        max_size=40,
    ),
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_every_request_has_one_outcome(requests):
    """Guards against requests counted twice or not at all."""
    accounts = accounts_at(ManualClock())
    expected, without = {}, 0
    for caller, closes in requests:
        ticket = accounts.open_request(f'c{caller}', 'catalogue', 'browse', 2)
        without += not closes
        counted = [ticket.record_outcome(outcome, 'why') for outcome in closes]
        assert counted == [True, False, False][: len(closes)]
        if closes:
            expected[closes[0]] = expected.get(closes[0], 0) + 1
    snapshot = accounts.snapshot()
    assert accounts.open_request_count() == snapshot.open_tickets == without
    counts = {}
    for line in snapshot.lines:
        counts[line.outcome] = counts.get(line.outcome, 0) + line.count
        assert line.weight == 2 * line.count
    assert counts == expected


def test_invented_names_share_one_account():
    """Guards against memory that grows with names sent by callers."""
    accounts = accounts_at(ManualClock())
    for turn in range(1000):
        ticket = accounts.open_request(f'x{turn}', f's{turn}', f'k{turn}')
        ticket.record_outcome(Outcome.refused, f'r{turn}')
    snapshot = accounts.snapshot()
    assert len(snapshot.lines) <= 65
    assert {(line.caller, line.service) for line in snapshot.lines} == {
        (OTHER_NAME, OTHER_NAME)
    }
    assert sum(line.count for line in snapshot.lines) == 1000


def test_promises_follow_the_plan():
    """Guards against reports that hide what a plan promised."""
    clock, in_force = ManualClock(), ConfigInForce()
    accounts = accounts_at(clock, in_force=in_force)
    entries = len(example_topology().entry_instances())
    clock.advance(10)
    in_force.replace_if_newer(config_of(2, 30, 2, (1,)))
    clock.advance(20)
    promised = {
        line.caller: line.weight for line in accounts.snapshot().promises
    }
    assert promised == {
        'c0': pytest.approx((900 + 600) / entries),
        'c1': pytest.approx(900 / entries),
    }


def test_latency_of_answered_requests():
    """Guards against refusals that make the latency look better."""
    clock = ManualClock()
    accounts = accounts_at(clock)
    for _ in range(100):
        ticket = accounts.open_request('c0', 'catalogue', 'browse')
        accounts.open_request('c0', 'catalogue', 'browse').record_outcome(
            Outcome.refused, 'x'
        )
        clock.advance(0.05)
        ticket.record_outcome(Outcome.answered)
    assert accounts.latency_ms('catalogue', 'browse', 50) == pytest.approx(
        50, rel=0.02
    )
    assert accounts.snapshot().latencies[0].histogram


@given(st.integers(0, 2**32))
@settings(max_examples=50, deadline=None, derandomize=True)
def test_merge_is_monotone_and_ignores_copies(seed):
    """Guards against sums that fall or double when snapshots repeat."""
    rng, clock = random.Random(seed), ManualClock()
    lives = [('e1', '1'), ('e1', '2'), ('e2', '1')]
    accounts = [accounts_at(clock, *life) for life in lives]
    snapshots = []
    for _ in range(30):
        clock.advance(1)
        each = rng.choice(accounts)
        outcome = rng.choice(list(Outcome))
        each.open_request('c0', 'catalogue', 'browse').record_outcome(outcome)
        encoded = msgspec.msgpack.encode(each.snapshot())
        snapshots.append(msgspec.msgpack.decode(encoded, type=AccountSnapshot))
    snapshots += rng.sample(snapshots, 10)
    rng.shuffle(snapshots)
    ledger, seen = AccountLedger(), 0
    for snapshot in snapshots:
        ledger.merge([snapshot])
        total = sum(line.count for line in ledger.lines())
        assert total >= seen
        seen = total
    assert seen == 30
    (promise,) = [p for p in ledger.promises() if p.caller == 'c0']
    assert promise.weight <= 3 * 30 * 90 / len(
        example_topology().entry_instances()
    )
