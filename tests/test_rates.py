"""Tests of rates over several instances that lend tokens to each other.

They guard against loans that create tokens, so that a caller exceeds its rate
and burst, when messages are lost, copied or late or instances crash.
"""

import asyncio

import looptime
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cuminhoist.borrowing import BorrowTokens, RateWanted, nearest_lenders
from cuminhoist.rates import MAX_LOAN_S

from .builders import LoopClock, example_topology
from .builders_admission import RateFleet, config_of

CALLER, SERVICE = 'c0', 'catalogue'
SLACK = 1e-6


# Without shrinking, a failure is reported in seconds instead of minutes.
_PHASES = (Phase.explicit, Phase.generate)
_steps = st.lists(
    st.tuples(
        st.sampled_from(['send', 'borrow', 'borrow', 'crash', 'wait']),
        st.integers(0, 2),
        st.sampled_from([0.05, 0.2, 0.5, 1, 2]),
        st.sampled_from([0, 0.02, 0.2]),
        st.sampled_from([(1, True)] * 4 + [(2, True), (1, False), (0, False)]),
    ),
    min_size=20,
    max_size=80,
)


async def play(fleet, steps, before_step=lambda: None):
    """Run steps: send, borrow, crash or wait; calls overlap later steps."""
    pending = []
    await asyncio.sleep(5)
    for number, (action, index, amount, delay_s, outcome) in enumerate(steps):
        before_step()
        name = fleet.names[index]
        if action == 'send':
            for _ in range(int(amount * 40)):
                fleet.send(name)
        elif action == 'borrow':
            for _ in range(80):
                fleet.send(name)
            fleet.network[name].call_outcome = lambda *_, outcome=outcome: (
                outcome
            )
            fleet.network[name].delay_s = delay_s
            call = fleet.borrowers[name].borrow_once()
            pending.append(asyncio.create_task(call))
            await asyncio.sleep(0.01)
        elif action == 'crash':
            fleet.start(name, str(number))
        else:
            await asyncio.sleep(amount)
    before_step()
    await asyncio.gather(*pending)
    before_step()


def run(scenario):
    """Run a scenario on an event loop whose time is simulated."""
    loop = looptime.new_event_loop(start=1000)
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


@given(_steps, st.sampled_from([0.5, 2, 3]))
@settings(max_examples=300, deadline=None, derandomize=True, phases=_PHASES)
def test_no_window_exceeds_the_rate(steps, burst_s):
    """Guards against tokens created by loss, copies, delay or crashes."""

    async def scenario():
        fleet = RateFleet(3, 40, burst_s, clock=LoopClock())

        def check():
            assert fleet.excess_if_all_spent(40, 40 * burst_s) <= SLACK

        await play(fleet, steps, check)
        assert fleet.max_excess(40, 40 * burst_s) <= SLACK

    run(scenario)


@given(
    _steps,
    st.integers(5, 20),
    st.integers(0, 3),
    st.sampled_from([(10, 2), (40, 0.5), (20, 4), (60, 1)]),
)
@settings(max_examples=300, deadline=None, derandomize=True, phases=_PHASES)
def test_lower_rate_applies_once_in_force_everywhere(
    steps, first_step, gap, lower
):
    """Guards against loans at the old rate that outlast a lower rate."""
    rate, burst_s = lower

    async def scenario():
        fleet = RateFleet(3, 40, 2, clock=LoopClock())
        change_steps = [first_step + gap * index for index in range(3)]
        unchanged = list(fleet.names)
        steps_done = 0

        def check():
            nonlocal steps_done
            steps_done += 1
            while unchanged and steps_done >= change_steps[3 - len(unchanged)]:
                name = unchanged.pop()
                fleet.in_force[name].replace_if_newer(
                    config_of(2, rate, burst_s)
                )
                fleet.restart_record(rate)
            if not unchanged:
                excess = fleet.excess_if_all_spent(rate, rate * burst_s)
                assert excess <= SLACK

        # No crashes: a restarted instance would apply the old plan first.
        # The tests of configuration delivery cover that change.
        await play(fleet, [step for step in steps if step[0] != 'crash'], check)
        if not unchanged:
            assert fleet.max_excess(rate, rate * burst_s) <= SLACK

    run(scenario)


def test_one_instance_reaches_nearly_the_full_rate():
    """Guards against a caller limited to the share of one instance."""
    fleet = RateFleet(8, rate_per_s=400)
    fleet.clock.advance(3)
    fleet.send_load(['e0'], 2, 500)
    assert fleet.send_load(['e0'], 10, 500) > 0.85 * 400


def test_lender_has_its_full_share_again_at_once():
    """Guards against a lender without tokens after it lent its share."""
    fleet = RateFleet(8, rate_per_s=400)
    fleet.clock.advance(3)
    fleet.send_load(['e0'], 5, 500)
    fleet.admitted.clear()
    for _ in range(200):
        fleet.clock.advance(0.01)
        fleet.send('e3', 0.5)
    assert sum(cost for _, cost in fleet.admitted) >= 0.98 * 100


def test_restart_starts_empty():
    """Guards against a burst that is available again after each restart."""
    fleet = RateFleet(2)
    fleet.clock.advance(10)
    fleet.start('e0', '2')
    fleet.send('e0')
    assert not fleet.admitted


def test_copied_call_deducts_once():
    """Guards against a lender that deducts a loan for each copy of a call."""
    fleet = RateFleet(2)
    fleet.clock.advance(10)
    call = BorrowTokens(
        incarnation='1', number=1, wants=(RateWanted(CALLER, SERVICE, 10),)
    )
    lender = fleet.network['e1']
    handler = lender._handlers[BorrowTokens]
    reply = asyncio.run(handler('e0', call))
    assert asyncio.run(handler('e0', call)) == reply
    bucket = fleet.limiters['e1'].bucket((CALLER, SERVICE))
    expected = bucket.share.burst - 10 * MAX_LOAN_S
    assert bucket._tokens == pytest.approx(expected)


def test_refunds_and_unknown_callers():
    """Guards against lost refunds and buckets for unknown callers."""
    fleet = RateFleet(1, rate_per_s=10, burst_s=1)
    limiter = fleet.limiters['e0']
    fleet.clock.advance(5)
    assert limiter.try_charge(CALLER, SERVICE, 10)
    assert not limiter.try_charge(CALLER, SERVICE, 1)
    assert limiter.wait_s(CALLER, SERVICE, 1) == pytest.approx(0.1)
    limiter.refund(CALLER, SERVICE, 10)
    assert limiter.try_charge(CALLER, SERVICE, 10)
    assert not limiter.try_charge('nobody', SERVICE, 1)
    assert len(limiter) == 1


def test_partners_are_nearest_first():
    """Guards against borrowing over links between regions first."""
    topology = example_topology()
    for own in topology.entry_instances():
        peers = [
            topology.instance(p) for p in nearest_lenders(topology, own.name)
        ]
        assert len(peers) == len(topology.entry_instances()) - 1
        distances = [
            2
            if topology.region_of(peer.domain) != topology.region_of(own.domain)
            else peer.domain != own.domain
            for peer in peers
        ]
        assert distances == sorted(distances)
