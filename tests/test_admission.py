"""Tests of admission: checks, queueing, deadlines and cancellation.

They guard against slots that are lost when a cancellation and the release of
a slot coincide, and against callers charged for requests that did not run.
"""

import asyncio
import random

import looptime
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from cuminhoist.slots import SlotOutcome
from cuminhoist.types import Ran, Reason

from .builders_admission import AdmissionRig


def run(scenario):
    """Run a scenario on an event loop whose time is simulated."""
    loop = looptime.new_event_loop(start=1000)
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


async def full_rig(**fields):
    """Return admission whose rate buckets have filled up."""
    rig = AdmissionRig(**fields)
    await asyncio.sleep(3)
    return rig


_jobs = st.lists(
    st.tuples(
        st.floats(0, 2),  # arrives at, in seconds
        st.floats(0.01, 1),  # deadline, seconds after the arrival
        st.one_of(st.none(), st.floats(0, 1)),  # cancelled, seconds after
        st.floats(0.01, 0.5),  # runs, in seconds
        st.integers(0, 2),  # caller
        st.sampled_from(['gogledd', 'de-cymru']),
        st.sampled_from([frozenset(), frozenset({'t0'})]),
    ),
    min_size=1,
    max_size=40,
)


@given(_jobs)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_no_slot_is_lost_in_any_interleaving(jobs):
    """Guards against slots lost by cancellation at any point in time."""

    async def job(rig, arrives_at, deadline_s, runs_s, caller, region, exclude):
        await asyncio.sleep(arrives_at)
        req = rig.request(
            caller, deadline_s, origin_region=region, exclude=exclude
        )
        outcome = await rig.admission.admit(req)
        late_s = rig.clock.now() - req.deadline_at
        assert late_s <= 1e-6
        if isinstance(outcome, Failure):
            refusal = outcome.failure()
            assert refusal.ran == Ran.not_run and refusal.retry_after_ms > 0
            assert refusal.plan == f'p{caller}'
            return
        slot = outcome.unwrap()
        assert slot.target.name not in exclude
        try:
            await asyncio.sleep(runs_s)
        finally:
            slot.release(SlotOutcome.answered, runs_s)
            slot.release(SlotOutcome.not_run, runs_s)

    async def scenario():
        rig = await full_rig(weights=(1, 2, 4))
        tasks = []
        for (
            arrives_at,
            deadline_s,
            cancel_s,
            runs_s,
            caller,
            region,
            exclude,
        ) in jobs:
            task = asyncio.create_task(
                job(
                    rig,
                    arrives_at,
                    deadline_s,
                    runs_s,
                    caller,
                    region,
                    exclude,
                )
            )
            tasks.append(task)
            if cancel_s is not None:
                asyncio.get_running_loop().call_later(
                    arrives_at + cancel_s, task.cancel
                )
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            assert outcome is None or isinstance(
                outcome, asyncio.CancelledError
            )
        assert not rig.slots.in_use
        assert rig.admission.waiting_count('catalogue') == 0
        assert rig.slots.free_slots('catalogue') == 2

    run(scenario)


@pytest.mark.parametrize('cancel_first', [True, False])
def test_cancellation_in_the_loop_iteration_of_the_grant(cancel_first):
    """Guards against a lost slot.

    A request is cancelled after a slot was assigned to it and before its task
    resumes.
    """

    async def scenario():
        rig = await full_rig(slots=1)
        slot = (await rig.admission.admit(rig.request())).unwrap()
        waiting = asyncio.create_task(rig.admission.admit(rig.request()))
        second_waiting = asyncio.create_task(rig.admission.admit(rig.request()))
        await asyncio.sleep(0)
        if cancel_first:
            waiting.cancel()
        slot.release(SlotOutcome.answered, 0.1)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert waiting.cancelled()
        assert isinstance(await second_waiting, Success)
        assert rig.slots.in_use == ['t0']

    run(scenario)


def test_cancelled_in_queue_leaves_queue_and_refunds_tokens():
    """Guards against charging a caller that disconnected in the queue."""

    async def scenario():
        rig = await full_rig(slots=1, rate_per_s=1)
        (await rig.admission.admit(rig.request())).unwrap()
        waiting = asyncio.create_task(rig.admission.admit(rig.request()))
        await asyncio.sleep(0)
        assert rig.admission.waiting_count('catalogue') == 1
        assert not rig.rates.try_charge('c0', 'catalogue', 0.5)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert rig.admission.waiting_count('catalogue') == 0
        assert rig.rates.try_charge('c0', 'catalogue', 1)

    run(scenario)


def test_tokens_are_refunded_when_the_target_refuses():
    """Guards against charging requests that the target did not run."""

    async def scenario():
        rig = await full_rig(rate_per_s=1)
        for outcome in (SlotOutcome.not_run, SlotOutcome.answered):
            slot = (await rig.admission.admit(rig.request(cost=2))).unwrap()
            slot.release(outcome, 0)
        refusal = (await rig.admission.admit(rig.request(cost=2))).failure()
        assert refusal.reason == Reason.rate_exceeded
        assert refusal.retry_after_ms == pytest.approx(2000, abs=2)
        too_costly = (await rig.admission.admit(rig.request(cost=3))).failure()
        assert 'below the weight 3' in too_costly.detail

    run(scenario)


def test_each_check_refuses_with_its_reason():
    """Guards against refusals that give the wrong reason."""

    async def scenario():
        rig = await full_rig()
        admit = rig.admission.admit
        rig.slots.usable['catalogue'] = 0
        assert (await admit(rig.request())).failure().reason == Reason.no_slot
        rig.slots.usable['catalogue'] = 2
        expired = (await admit(rig.request(deadline_s=0))).failure()
        assert expired.reason == Reason.deadline
        reasons = []
        for _ in range(400):
            outcome = await admit(rig.request(origin_region='de-cymru'))
            if isinstance(outcome, Failure):
                reasons.append(outcome.failure().reason)
                break
            outcome.unwrap().release(SlotOutcome.answered, 0)
        assert reasons == [Reason.shift_cap]
        known = rig.request(caller=0, cost=1)
        unknown = await admit(
            type(known)(
                service='catalogue',
                caller='nobody',
                plan='none',
                deadline_at=known.deadline_at,
                origin_region='gogledd',
            )
        )
        assert unknown.failure().reason == Reason.rate_exceeded

    run(scenario)


def test_try_admit_does_not_wait_or_overtake():
    """Guards against requests of peers that overtake queued requests."""

    async def scenario():
        rig = await full_rig(slots=1, rate_per_s=1)
        slot = rig.admission.try_admit(rig.request(cost=50)).unwrap()
        refused = rig.admission.try_admit(rig.request())
        assert refused.failure().reason == Reason.no_slot
        slot.release(SlotOutcome.answered, 0)
        slot = (await rig.admission.admit(rig.request())).unwrap()
        waiting = asyncio.create_task(rig.admission.admit(rig.request()))
        await asyncio.sleep(0)
        slot.release(SlotOutcome.answered, 0)
        assert isinstance(rig.admission.try_admit(rig.request()), Failure)
        (await waiting).unwrap().release(SlotOutcome.answered, 0)
        assert isinstance(rig.admission.try_admit(rig.request()), Success)

    run(scenario)


def test_overload_serves_callers_by_plan_weight():
    """Guards against a plan that gets less than its weight in overload."""

    async def scenario():
        rig = await full_rig(slots=4, weights=(1, 2, 4))
        served = [0, 0, 0]
        rng = random.Random(3)

        async def client(caller):
            while rig.clock.now() < 1043:
                req = rig.request(caller, deadline_s=5)
                outcome = await rig.admission.admit(req)
                if isinstance(outcome, Success):
                    await asyncio.sleep(rng.uniform(0.05, 0.15))
                    outcome.unwrap().release(SlotOutcome.answered, 0.1)
                    served[caller] += 1
                else:
                    await asyncio.sleep(0.05)

        await asyncio.gather(*(client(turn % 3) for turn in range(60)))
        total = sum(served)
        for caller, weight in enumerate((1, 2, 4)):
            assert served[caller] == pytest.approx(total * weight / 7, rel=0.1)

    run(scenario)
