"""Pacing of bodies between regions.

The tests guard against an overloaded link, large bodies that delay small
ones, uploads cut off at their deadline and reservations that leak.
"""

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

OWN_REGION, OTHER_REGION = 'gogledd', 'de-cymru'
# Shrinking is off, so that a failure is reported in seconds, not minutes.
_PHASES = (Phase.explicit, Phase.generate)
LINK_BYTES_PER_S = 4000 * 125_000
_SATURATED_CLASSES = (
    (OWN_REGION, OTHER_REGION, LinkDirection.requests),
    (OTHER_REGION, OWN_REGION, LinkDirection.responses),
)


def run_simulated(scenario):
    """Run a coroutine function on an event loop with simulated time."""
    loop = looptime.new_event_loop(start=1000)
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


def entry_instance_count(topology, region):
    """Return the number of entry instances of a region."""
    return sum(
        topology.region_of(entry.domain) == region
        for entry in topology.entry_instances()
    )


async def paused_chunks(sizes, pauses):
    """Yield zero bytes in chunks, each after a pause in seconds."""
    for size, pause in zip(sizes, pauses, strict=True):
        await asyncio.sleep(pause)
        yield bytes(size)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [(OTHER_REGION, 'responses'), (OWN_REGION, 'requests')]
            ),
            st.integers(0, 2),
            st.lists(st.integers(0, 3_000_000), min_size=1, max_size=5),
            st.floats(0, 0.05),
        ),
        max_size=8,
    ),
)
@settings(max_examples=15, deadline=None, derandomize=True, phases=_PHASES)
def test_sum_stays_within_the_link(streams):
    """Guards against instances that together exceed the rate of a link.

    Two classes of bodies pass towards the own region: request bodies, which
    it limits itself, and bodies of answers, which the other region limits.
    """
    topology = example_topology()
    passed_pieces = []

    async def stream(budget, other, direction, sizes, pause):
        pauses = [pause] * len(sizes)
        body = paused_chunks(sizes, pauses)
        loop = asyncio.get_running_loop()
        async for piece in budget.pace(other, direction, body):
            assert 0 < len(piece) <= PIECE_BYTES
            passed_pieces.append((loop.time(), len(piece)))

    async def scenario():
        clock = LoopClock()
        budgets = {
            region: [
                LinkBudget(topology, region, clock)
                for _ in range(entry_instance_count(topology, region))
            ]
            for region in (OWN_REGION, OTHER_REGION)
        }
        # Each instance has more bytes to send than its share, in both classes.
        tasks = [
            stream(budget, other, direction, [4_000_000], 0)
            for region, other, direction in _SATURATED_CLASSES
            for budget in budgets[region]
        ]
        for (other, direction), instance_index, sizes, pause in streams:
            region = OWN_REGION if other == OTHER_REGION else OTHER_REGION
            region_budgets = budgets[region]
            budget = region_budgets[instance_index % len(region_budgets)]
            tasks.append(stream(budget, other, direction, sizes, pause))
        await asyncio.gather(*tasks)

    run_simulated(scenario)
    assert sum(size for _, size in passed_pieces) == 24_000_000 + sum(
        sum(sizes) for _, _, sizes, _ in streams
    )
    # A leaky bucket that drains at the usable rate rises above the burst if
    # and only if some window passes more than its limit.
    rate, bucket_bytes, previous_at = (
        LINK_BYTES_PER_S * USABLE_FRACTION,
        0.0,
        0.0,
    )
    for passed_at, size in sorted(passed_pieces):
        bucket_bytes = (
            max(bucket_bytes - (passed_at - previous_at) * rate, 0) + size
        )
        previous_at = passed_at
        assert bucket_bytes <= rate * BURST_S + 1


def test_streams_take_turns():
    """Guards against small bodies that wait for a whole large one."""

    async def scenario():
        budget = LinkBudget(example_topology(), OWN_REGION, LoopClock())
        finished_at_s = {}

        async def stream(name, size):
            body = paused_chunks([size], [0])
            async for _ in budget.pace(
                OTHER_REGION, LinkDirection.requests, body
            ):
                finished_at_s[name] = asyncio.get_running_loop().time() - 1000

        await asyncio.gather(
            stream('large', 40_000_000),
            stream('small', 4_000_000),
            stream('other', 4_000_000),
        )
        share_bytes_per_s = LINK_BYTES_PER_S * USABLE_FRACTION / 2
        share_bytes_per_s /= entry_instance_count(
            example_topology(), OWN_REGION
        )
        assert (
            finished_at_s['small'] <= 3 * 4_000_000 / share_bytes_per_s + 0.01
        )
        assert finished_at_s['large'] == pytest.approx(
            48_000_000 / share_bytes_per_s, rel=0.02
        )

    run_simulated(scenario)


def test_declared_length_that_cannot_pass_is_refused():
    """Guards against uploads that start and are cut off at their deadline."""

    async def scenario():
        clock = LoopClock()
        budget = LinkBudget(example_topology(), OWN_REGION, clock)

        def reserve(length, seconds):
            return budget.try_reserve(
                OTHER_REGION,
                LinkDirection.requests,
                length,
                clock.now() + seconds,
                'council',
            )

        share_bytes_per_s = LINK_BYTES_PER_S * USABLE_FRACTION / 2
        share_bytes_per_s /= entry_instance_count(
            example_topology(), OWN_REGION
        )
        reservation = reserve(int(share_bytes_per_s), 1.1).unwrap()
        refusal = reserve(int(share_bytes_per_s), 1.1).failure()
        assert refusal.reason == Reason.link_full
        assert refusal.ran == Ran.not_run and refusal.plan == 'council'
        assert refusal.retry_after_ms == pytest.approx(900, abs=10)
        body = paused_chunks([int(share_bytes_per_s)], [0])
        piece_count = 0
        async for _ in budget.pace(
            OTHER_REGION, LinkDirection.requests, body, reservation
        ):
            piece_count += 1
        assert clock.now() - 1000 <= 1.1 and piece_count > 1
        assert isinstance(reserve(int(share_bytes_per_s), 1.1), Success)
        assert isinstance(reserve(1, 0.1), Failure)
        local = budget.try_reserve(OWN_REGION, LinkDirection.requests, 10**9, 0)
        assert local.unwrap() is None

    run_simulated(scenario)


def test_cancelled_stream_frees_its_reservation():
    """Guards against a reservation that a cancelled stream does not release."""

    async def scenario():
        clock = LoopClock()
        budget = LinkBudget(example_topology(), OWN_REGION, clock)
        deadline_at = clock.now() + 100
        reservation = budget.try_reserve(
            OTHER_REGION, LinkDirection.requests, 10**9, deadline_at
        ).unwrap()

        async def consume():
            body = paused_chunks([10**9], [0])
            async for _ in budget.pace(
                OTHER_REGION, LinkDirection.requests, body, reservation
            ):
                pass

        task = asyncio.create_task(consume())
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert (
            budget._pacers[OTHER_REGION, LinkDirection.requests].expected_bytes
            == 0
        )

    run_simulated(scenario)
