"""Tests of the report of entries that are left out of the list of targets.

They guard against odd entries that nobody sees, and against a line for each of
them with each reading.
"""

import asyncio

import pytest
from prometheus_client import CollectorRegistry
from returns.result import Success

from cuminhoist.fleet import rejected_entries
from cuminhoist.fleet.messages import TargetList
from cuminhoist.fleet.rejected_entries import RejectedEntry, RejectedEntryLog
from cuminhoist.fleet.target_feed import ListReading, TargetFeed, TargetSource
from cuminhoist.steering.targets import MAX_SLOTS
from tests.steering.builders import target

pytestmark = pytest.mark.looptime


@pytest.fixture
def lines(monkeypatch):
    """Return the logged lines."""
    logged = []
    monkeypatch.setattr(
        rejected_entries, 'log_rejected', lambda **fields: logged.append(fields)
    )
    return logged


def _rejected(*names):
    return tuple(RejectedEntry(name, 'invalid', 'no port') for name in names)


def _counted(registry, kind):
    return registry.get_sample_value(
        'cuminhoist_rejected_list_entries_total', {'kind': kind}
    )


async def test_entries_that_stay_are_counted_and_logged_once(lines):
    """Guards against a line a second for as long as an odd entry stays."""
    registry = CollectorRegistry()
    clock = asyncio.get_running_loop().time
    log = RejectedEntryLog.from_registry(registry, clock)
    for _ in range(50):
        log.record(_rejected('a', 'b'))
        await asyncio.sleep(1)
    assert lines == [{'count': 2, 'entries': ['a: no port', 'b: no port']}]
    assert _counted(registry, 'invalid') == 100


async def test_new_odd_entry_is_logged_at_once(lines):
    """Guards against a first entry that hides the next one."""
    clock = asyncio.get_running_loop().time
    log = RejectedEntryLog.from_registry(CollectorRegistry(), clock)
    log.record(_rejected('a'))
    log.record(_rejected('a', 'b'))
    assert [line['entries'] for line in lines] == [
        ['a: no port'],
        ['b: no port'],
    ]


async def test_many_odd_entries_are_one_line(lines):
    """Guards against logs that grow with what others write."""
    clock = asyncio.get_running_loop().time
    log = RejectedEntryLog.from_registry(CollectorRegistry(), clock)
    log.record(_rejected(*(f'i{number}' for number in range(1000))))
    (line,) = lines
    assert line['count'] == 1000
    assert len(line['entries']) == 5


class _OddSource(TargetSource):
    """Reads one target and one odd entry."""

    async def read(self):
        return Success(ListReading((target('a'),), _rejected('odd')))


async def test_feed_reports_what_its_source_leaves_out(lines):
    """Guards against a report that the feed does not pass on."""
    clock = asyncio.get_running_loop().time
    feed = TargetFeed(_OddSource(), lambda: 0, clock, lambda feed: None)
    feed.report_rejected(CollectorRegistry())
    reading = asyncio.create_task(feed.run())
    await asyncio.sleep(0.5)
    reading.cancel()
    assert lines == [{'count': 1, 'entries': ['odd: no port']}]


@pytest.mark.parametrize(
    'changes',
    [
        {'slots': 2**63},
        {'slots': MAX_SLOTS + 1},
        {'started_at_ms': -1},
        {'warmup_left_s': float('nan')},
        {'domain': 'x' * 1000},
    ],
)
async def test_entry_out_of_range_of_another_instance_costs_only_itself(
    lines, changes
):
    """Guards against what an instance with an older version passes on."""
    clock = asyncio.get_running_loop().time
    feed = TargetFeed(None, lambda: 0, clock, lambda feed: None)
    registry = CollectorRegistry()
    feed.report_rejected(registry)
    targets = (target('a'), target('odd', **changes), target('b'))
    for age_s in (2, 1, 0):
        feed.apply_list(TargetList(age_s=age_s, targets=targets))
    assert [entry.name for entry in feed.listed] == ['a', 'b']
    assert len(lines) == 1
    assert _counted(registry, 'received') == 3
