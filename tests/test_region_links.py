"""Link budgets: the sum over all instances stays within the link."""

import asyncio

import looptime
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from cuminhoist.region_links import (
    BURST_S,
    PIECE_BYTES,
    USABLE_FRACTION,
    LinkBudget,
    LinkDirection,
)
from cuminhoist.types import Ran, Reason

from .builders import LoopClock, example_topology

REGION, OTHER = 'gogledd', 'de-cymru'
# Without shrinking, a failure is reported in seconds and not minutes.
_PHASES = (Phase.explicit, Phase.generate)
LINK_BYTES_S = 4000 * 125_000
_FULL = (
    (REGION, OTHER, LinkDirection.requests),
    (OTHER, REGION, LinkDirection.responses),
)


def run(scenario):
    """Run a scenario on an event loop whose time is simulated."""
    loop = looptime.new_event_loop(start=1000)
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


def instances(topology, region):
    """Return how many entry instances a region has."""
    return sum(
        topology.region_of(entry.domain) == region
        for entry in topology.entry_instances()
    )


async def chunks(sizes, pauses):
    """Yield chunks with pauses before them."""
    for size, pause in zip(sizes, pauses, strict=True):
        await asyncio.sleep(pause)
        yield bytes(size)


@given(
    st.lists(
        st.tuples(
            st.sampled_from([(OTHER, 'responses'), (REGION, 'requests')]),
            st.integers(0, 2),
            st.lists(st.integers(0, 3_000_000), min_size=1, max_size=5),
            st.floats(0, 0.05),
        ),
        max_size=8,
    ),
)
@settings(max_examples=15, deadline=None, derandomize=True, phases=_PHASES)
def test_sum_stays_within_the_link(streams):
    """Guards against instances that together overload the shared link.

    Towards this region pass request bodies, which it limits itself, and
    responses, which the other region limits.
    """
    topology = example_topology()
    passed = []

    async def stream(budget, other, direction, sizes, pause):
        pauses = [pause] * len(sizes)
        body = chunks(sizes, pauses)
        loop = asyncio.get_running_loop()
        async for piece in budget.pace(other, direction, body):
            assert 0 < len(piece) <= PIECE_BYTES
            passed.append((loop.time(), len(piece)))

    async def scenario():
        clock = LoopClock()
        budgets = {
            region: [
                LinkBudget(topology, region, clock)
                for _ in range(instances(topology, region))
            ]
            for region in (REGION, OTHER)
        }
        # Each instance has more than it may pass, in both classes.
        jobs = [
            stream(budget, other, direction, [4_000_000], 0)
            for region, other, direction in _FULL
            for budget in budgets[region]
        ]
        for (other, direction), turn, sizes, pause in streams:
            region = REGION if other == OTHER else OTHER
            members = budgets[region]
            budget = members[turn % len(members)]
            jobs.append(stream(budget, other, direction, sizes, pause))
        await asyncio.gather(*jobs)

    run(scenario)
    assert sum(size for _, size in passed) == 24_000_000 + sum(
        sum(sizes) for _, _, sizes, _ in streams
    )
    # The level of a bucket that leaks at the usable rate exceeds the burst
    # exactly if some window does.
    rate, level, last = LINK_BYTES_S * USABLE_FRACTION, 0.0, 0.0
    for at, size in sorted(passed):
        level = max(level - (at - last) * rate, 0) + size
        last = at
        assert level <= rate * BURST_S + 1


def test_streams_take_turns():
    """Guards against a large body that keeps small ones waiting."""

    async def scenario():
        budget = LinkBudget(example_topology(), REGION, LoopClock())
        finished = {}

        async def stream(name, size):
            body = chunks([size], [0])
            async for _ in budget.pace(OTHER, LinkDirection.requests, body):
                finished[name] = asyncio.get_running_loop().time() - 1000

        await asyncio.gather(
            stream('large', 40_000_000),
            stream('small', 4_000_000),
            stream('other', 4_000_000),
        )
        share = LINK_BYTES_S * USABLE_FRACTION / 2
        share /= instances(example_topology(), REGION)
        assert finished['small'] <= 3 * 4_000_000 / share + 0.01
        assert finished['large'] == pytest.approx(48_000_000 / share, rel=0.02)

    run(scenario)


def test_declared_length_that_cannot_pass_is_refused():
    """Guards against uploads that are cut off at their deadline."""

    async def scenario():
        clock = LoopClock()
        budget = LinkBudget(example_topology(), REGION, clock)

        def reserve(length, seconds):
            return budget.try_reserve(
                OTHER,
                LinkDirection.requests,
                length,
                clock.now() + seconds,
                'council',
            )

        share = LINK_BYTES_S * USABLE_FRACTION / 2
        share /= instances(example_topology(), REGION)
        first = reserve(int(share), 1.1).unwrap()
        refusal = reserve(int(share), 1.1).failure()
        assert refusal.reason == Reason.link_full
        assert refusal.ran == Ran.not_run and refusal.plan == 'council'
        assert refusal.retry_after_ms == pytest.approx(900, abs=10)
        body = chunks([int(share)], [0])
        count = 0
        async for _ in budget.pace(OTHER, LinkDirection.requests, body, first):
            count += 1
        assert clock.now() - 1000 <= 1.1 and count > 1
        assert isinstance(reserve(int(share), 1.1), Success)
        assert isinstance(reserve(1, 0.1), Failure)
        local = budget.try_reserve(REGION, LinkDirection.requests, 10**9, 0)
        assert local.unwrap() is None

    run(scenario)


def test_cancelled_stream_frees_its_reservation():
    """Guards against reservations that outlive their request."""

    async def scenario():
        clock = LoopClock()
        budget = LinkBudget(example_topology(), REGION, clock)
        deadline_at = clock.now() + 100
        reservation = budget.try_reserve(
            OTHER, LinkDirection.requests, 10**9, deadline_at
        ).unwrap()

        async def consume():
            body = chunks([10**9], [0])
            async for _ in budget.pace(
                OTHER, LinkDirection.requests, body, reservation
            ):
                pass

        task = asyncio.create_task(consume())
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert budget._pipes[OTHER, LinkDirection.requests].expected_bytes == 0

    run(scenario)
