"""Tests of the feed of the target list.

They guard against too many reads of the list, and against an outdated list
after the reading instance fails or a read fails.
"""

import asyncio

import pytest
from returns.result import Failure, Success

from cuminhoist.fleet.instance_config import DeploymentLimits
from cuminhoist.fleet.messages import TargetList
from cuminhoist.fleet.target_feed import (
    OWN_READ_FRACTION,
    READ_INTERVAL_S,
    TAKEOVER_DELAY_S,
    ListReading,
    TargetFeed,
    TargetSource,
    entry_read_rank,
)
from cuminhoist.steering.leaving_targets import LeavingTarget
from cuminhoist.steering.targets import TargetState
from tests.steering.builders import target

pytestmark = pytest.mark.looptime


class CountingSource(TargetSource):
    """Counts how often the list is read."""

    def __init__(self) -> None:
        self.calls = 0
        self.fails = False

    async def read(self):
        self.calls += 1
        if self.fails:
            return Failure('status 429')
        return Success(ListReading((target('a'),)))


def _feed(source, rank):
    loop = asyncio.get_running_loop()
    return TargetFeed(source, lambda: rank, loop.time, lambda feed: None)


async def _run(*feeds, for_s):
    tasks = [asyncio.create_task(feed.run()) for feed in feeds]
    await asyncio.sleep(for_s)
    for task in tasks:
        task.cancel()


async def test_first_instance_reads_and_others_do_not():
    """Guards against reads of the list by every instance."""
    source, idle = CountingSource(), CountingSource()
    first, second = _feed(source, 0), _feed(idle, 1)
    first._on_change = lambda feed: second.apply_list(feed.to_message())
    second._on_change = lambda feed: None
    second.apply_list(TargetList(age_s=0, targets=()))
    await _run(first, second, for_s=10)
    assert 9 <= source.calls <= 11
    assert idle.calls == 0


async def test_next_instance_takes_over():
    """Guards against an outdated list after the reading instance fails."""
    source = CountingSource()
    feed = _feed(source, 1)
    feed.apply_list(TargetList(age_s=0, targets=()))
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await _run(feed, for_s=READ_INTERVAL_S + 1)
    assert source.calls >= 1
    # A leaving target must get no requests from 3 s after the list shows it.
    assert feed.read_at - started_at < 2


async def test_older_lists_are_ignored():
    """Guards against replacing the list by an older one."""
    feed = _feed(CountingSource(), 0)
    feed.apply_list(TargetList(age_s=0, targets=(target('new'),)))
    feed.apply_list(TargetList(age_s=2, targets=(target('old'),)))
    assert [entry.name for entry in feed.entries] == ['new']


async def test_failed_reads_keep_the_list():
    """Guards against treating a failed read as an empty list."""
    source = CountingSource()
    feed = _feed(source, 0)
    await _run(feed, for_s=0.5)
    source.fails = True
    await _run(feed, for_s=5)
    assert [entry.name for entry in feed.entries] == ['a']
    assert source.calls < 10


async def test_start_of_many_instances_reads_the_list_once():
    """Guards against a read by each instance of a fleet that starts.

    Hundreds of entry instances used up the limit of calls, and each loaded
    the client for it.
    """
    source, idle = CountingSource(), CountingSource()
    await _run(_feed(source, 0), for_s=0.5)
    await _run(_feed(idle, 5), for_s=2.9)
    assert (source.calls, idle.calls) == (1, 0)
    await _run(_feed(idle, 5), for_s=3.5)
    assert idle.calls == 1


async def test_notice_changes_the_entries_but_not_the_list():
    """Guards against requests to a target that has announced its stop.

    Other instances get the list as it was read, so that a copy of it does not
    outlast the notice.
    """
    feed = _feed(CountingSource(), 0)
    feed.apply_list(TargetList(age_s=0, targets=(target('a'), target('b'))))
    announced = (LeavingTarget('a'),)
    assert feed.add_leaving(announced) == announced
    states = [entry.state for entry in feed.entries]
    assert states == [TargetState.draining, TargetState.ready]
    assert feed.to_message().targets == (target('a'), target('b'))
    assert feed.leaving_notice().targets == announced
    assert feed.add_leaving(announced) == ()


async def test_notice_outlasts_newer_lists():
    """Guards against a list that ends a notice because it lags behind."""
    feed = _feed(CountingSource(), 0)
    feed.apply_list(TargetList(age_s=0, targets=(target('a'), target('b'))))
    feed.add_leaving([LeavingTarget('a')])
    await asyncio.sleep(1)
    feed.apply_list(TargetList(age_s=0, targets=(target('a'), target('b'))))
    assert feed.entries[0].state is TargetState.draining


async def test_restart_shown_by_the_list_ends_the_notice():
    """Guards against a restarted target that stays out of use."""
    feed = _feed(CountingSource(), 0)
    former = target('a', started_at_ms=1)
    feed.apply_list(TargetList(age_s=0, targets=(former, target('b'))))
    feed.add_leaving([LeavingTarget('a', 1)])
    await asyncio.sleep(1)
    restarted = target('a', started_at_ms=2)
    feed.apply_list(TargetList(age_s=0, targets=(restarted, target('b'))))
    assert feed.entries[0] == restarted
    assert feed.leaving_notice().targets == ()


async def test_last_target_of_a_service_stops_in_time():
    """Guards against a last target that gets requests without end."""
    loop = asyncio.get_running_loop()
    limits = DeploymentLimits(drain_s=3)
    feed = TargetFeed(None, lambda: 0, loop.time, lambda feed: None, limits)
    feed.apply_list(TargetList(age_s=0, targets=(target('a'),)))
    feed.add_leaving([LeavingTarget('a')])
    await asyncio.sleep(1.4)
    assert not feed.stop_last_targets()
    assert feed.entries[0].state is TargetState.ready
    await asyncio.sleep(0.1)
    assert feed.stop_last_targets()
    assert feed.entries[0].state is TargetState.draining
    assert not feed.stop_last_targets()


async def test_first_list_is_read_once_the_rank_is_known():
    """Guards against a start that waits for the list longer than necessary.

    All instances start together; their ranks are known when they are linked.
    """
    source = CountingSource()
    loop = asyncio.get_running_loop()
    started_at = loop.time()

    def rank() -> int:
        return 0 if loop.time() - started_at > 0.1 else 1

    feed = TargetFeed(source, rank, loop.time, lambda feed: None)
    await _run(feed, for_s=0.5)
    assert source.calls == 1
    assert feed.read_at - started_at < 0.2


async def test_rank_of_a_later_reader_is_looked_at_rarely():
    """Guards against entry instances that all read the list at once.

    They draw their ranks anew each time, so that many draws take the spread
    away.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    looked_at: list[float] = []

    def rank() -> int:
        looked_at.append(loop.time() - started_at)
        return 6

    feed = TargetFeed(CountingSource(), rank, loop.time, lambda feed: None)
    await _run(feed, for_s=3)
    late = [at for at in looked_at if at > TAKEOVER_DELAY_S + 0.1]
    assert len(late) <= 3 / TAKEOVER_DELAY_S


class _EntrySource(TargetSource):
    """Notes when it is read; the first read never ends.

    :param read_times: times of the reads of all instances.
    """

    def __init__(self, read_times) -> None:
        self._read_times = read_times

    async def read(self):
        loop = asyncio.get_running_loop()
        self._read_times.append(loop.time())
        return await loop.create_future()


async def test_first_own_reads_of_entry_instances_are_spread():
    """Guards against entry instances that all read the list at once.

    Each draws its pause; the more often it draws before the first list, the
    sooner the shortest pause applies to all of them.
    """
    loop, calls_per_s, count = asyncio.get_running_loop(), 44, 100
    read_times = []
    tasks = []
    for _ in range(count):
        feed = TargetFeed(
            _EntrySource(read_times),
            lambda: entry_read_rank(0, count, calls_per_s),
            loop.time,
            lambda feed: None,
        )
        tasks.append(asyncio.create_task(feed.run()))
        await asyncio.sleep(0.003)
    await asyncio.sleep(15)
    for task in tasks:
        task.cancel()
    assert len(read_times) == count
    most = max(
        sum(1 for at in read_times if since <= at < since + 1)
        for since in read_times
    )
    assert most <= OWN_READ_FRACTION * calls_per_s
