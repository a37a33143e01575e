"""Tests of the durable log across a crash before each of its writes.

They guard against synced entries that a later restart does not find.
"""

import contextlib

import pytest

from cuminhoist.consensus_messages import LogEntry, LogPosition, Snapshot
from cuminhoist.control_state import ControlState
from cuminhoist.durable_log import DurableLog

from .builders_log import CrashingDisk, PowerLost

#: More writes than installing a snapshot and reopening the log take.
MOST_WRITES = 6


async def _open_log(
    files: dict[str, bytes], writes_left: float = float('inf')
) -> DurableLog:
    disk = CrashingDisk(files, writes_left)
    return (await DurableLog.open(disk, 'i1')).unwrap()


async def _append_synced(log: DurableLog, term: int) -> LogPosition:
    start = log.last.index + 1
    entries = tuple(LogEntry(index, term) for index in (start, start + 1))
    (await log.append(entries)).unwrap()
    return log.last


@pytest.mark.parametrize('writes_left', range(MOST_WRITES))
@pytest.mark.parametrize(
    'installed',
    [
        LogPosition(1, 6),
        LogPosition(2, 6),
        LogPosition(2, 9),
        LogPosition(2, 14),
    ],
)
@pytest.mark.parametrize('entry_count', [0, 9])
async def test_entries_after_an_interrupted_install(
    writes_left, installed, entry_count
):
    """Guards against entries that are appended behind stale ones.

    A snapshot of another leader is installed, the process ends before one of
    the writes, and two more processes append synced entries.
    """
    files: dict[str, bytes] = {}
    log = await _open_log(files)
    await log.append(
        tuple(LogEntry(index, 1) for index in range(1, entry_count + 1))
    )
    snapshot = Snapshot(installed, log.membership, ControlState().image())
    with contextlib.suppress(PowerLost):
        log = await _open_log(files, writes_left)
        await log.compact(snapshot)
    with contextlib.suppress(PowerLost):
        # The repair at the start may be interrupted as well.
        await _open_log(files, writes_left % 2)
    for term in (3, 4, 5):
        log = await _open_log(files)
        synced = await _append_synced(log, term)
        reopened = await _open_log(files)
        assert reopened.last == synced
        assert reopened.base == log.base
        first = log.base.index + 1
        assert reopened.entries(first, synced.index) == log.entries(
            first, synced.index
        )
