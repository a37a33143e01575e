"""Tests of the accounts of requests.

They guard against requests with no outcome or several, sums that decrease, and
memory that grows with the names in requests.
"""

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
    """Return accounts that know the callers c0 and c1."""
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
    expected, open_count = {}, 0
    for caller, outcomes in requests:
        request = accounts.open_request(f'c{caller}', 'catalogue', 'browse', 2)
        open_count += not outcomes
        counted = [
            request.record_outcome(outcome, 'why') for outcome in outcomes
        ]
        assert counted == [True, False, False][: len(outcomes)]
        if outcomes:
            expected[outcomes[0]] = expected.get(outcomes[0], 0) + 1
    snapshot = accounts.snapshot()
    assert accounts.open_request_count() == snapshot.open_tickets == open_count
    counts = {}
    for line in snapshot.lines:
        counts[line.outcome] = counts.get(line.outcome, 0) + line.count
        assert line.weight == 2 * line.count
    assert counts == expected


def test_invented_names_share_one_account():
    """Guards against memory that grows with names sent by callers."""
    accounts = accounts_at(ManualClock())
    for number in range(1000):
        request = accounts.open_request(
            f'x{number}', f's{number}', f'k{number}'
        )
        request.record_outcome(Outcome.refused, f'r{number}')
    snapshot = accounts.snapshot()
    assert len(snapshot.lines) <= 65
    assert {(line.caller, line.service) for line in snapshot.lines} == {
        (OTHER_NAME, OTHER_NAME)
    }
    assert sum(line.count for line in snapshot.lines) == 1000


def test_promises_follow_the_plan():
    """Guards against promised weights that do not follow changes of plans."""
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
    """Guards against refused requests that lower the reported latency."""
    clock = ManualClock()
    accounts = accounts_at(clock)
    for _ in range(100):
        request = accounts.open_request('c0', 'catalogue', 'browse')
        accounts.open_request('c0', 'catalogue', 'browse').record_outcome(
            Outcome.refused, 'x'
        )
        clock.advance(0.05)
        request.record_outcome(Outcome.answered)
    assert accounts.latency_ms('catalogue', 'browse', 50) == pytest.approx(
        50, rel=0.02
    )
    assert accounts.snapshot().latencies[0].histogram


@given(st.integers(0, 2**32))
@settings(max_examples=50, deadline=None, derandomize=True)
def test_merge_is_monotone_and_ignores_copies(seed):
    """Guards against sums that decrease, or grow by repeated snapshots."""
    rng, clock = random.Random(seed), ManualClock()
    incarnations = [('e1', '1'), ('e1', '2'), ('e2', '1')]
    accounts = [
        accounts_at(clock, *incarnation) for incarnation in incarnations
    ]
    snapshots = []
    for _ in range(30):
        clock.advance(1)
        instance_accounts = rng.choice(accounts)
        outcome = rng.choice(list(Outcome))
        instance_accounts.open_request(
            'c0', 'catalogue', 'browse'
        ).record_outcome(outcome)
        encoded = msgspec.msgpack.encode(instance_accounts.snapshot())
        snapshots.append(msgspec.msgpack.decode(encoded, type=AccountSnapshot))
    snapshots += rng.sample(snapshots, 10)
    rng.shuffle(snapshots)
    ledger, previous_total = AccountLedger(), 0
    for snapshot in snapshots:
        ledger.merge([snapshot])
        total = sum(line.count for line in ledger.lines())
        assert total >= previous_total
        previous_total = total
    assert previous_total == 30
    (promise,) = [line for line in ledger.promises() if line.caller == 'c0']
    assert promise.weight <= 3 * 30 * 90 / len(
        example_topology().entry_instances()
    )
