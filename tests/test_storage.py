"""Tests of durable files, records and the durable log.

They guard against lost or invented log entries after torn writes, damaged
files, full disks and crashes between two writes.
"""

import asyncio
import errno
import os
import pathlib

import pytest
from hypothesis import given, settings, strategies
from returns.result import Failure, Success

from cuminhoist import storage
from cuminhoist.consensus_messages import (
    LogEntry,
    LogPosition,
    Member,
    Snapshot,
)
from cuminhoist.control_state import ControlState
from cuminhoist.durable_log import (
    CREATING_FILE,
    REQUIRED_FILES,
    LOG_FILE,
    SNAPSHOT_FILE,
    HARD_STATE_FILE,
    DurableLog,
)
from cuminhoist.storage import (
    HEADER_BYTES,
    DiskErrorKind,
    FileDisk,
    pack_record,
    read_records,
)

PAYLOADS = strategies.lists(strategies.binary(max_size=40), max_size=6)


def entries(start: int, end: int, term: int = 1) -> tuple[LogEntry, ...]:
    """Return entries without changes."""
    return tuple(LogEntry(index, term) for index in range(start, end + 1))


async def open_log(folder: pathlib.Path, incarnation: str = 'i1') -> DurableLog:
    """Open the log in a folder."""
    return (await DurableLog.open(FileDisk(folder), incarnation)).unwrap()


def failure_kind(result: object) -> DiskErrorKind:
    """Return the kind of a failed operation."""
    assert isinstance(result, Failure)
    return result.failure().kind


@given(payloads=PAYLOADS, cut=strategies.integers(0, 60))
def test_torn_tail_is_dropped(payloads, cut):
    """Guards against a torn write that hides the records before it."""
    content = b''.join(pack_record(payload) for payload in payloads)
    kept = content[: max(0, len(content) - cut)]
    result = read_records(kept).unwrap()
    complete = []
    size = 0
    for payload in payloads:
        size += HEADER_BYTES + len(payload)
        if size <= len(kept):
            complete.append(payload)
    assert result.payloads == tuple(complete)
    assert result.size == sum(
        HEADER_BYTES + len(payload) for payload in complete
    )


@given(
    payloads=PAYLOADS.filter(bool),
    place=strategies.integers(0, 10**6),
    flip=strategies.integers(1, 255),
)
def test_damage_is_never_read(payloads, place, flip):
    """Guards against a damaged byte or length taken for a torn write."""
    content = bytearray(b''.join(pack_record(entry) for entry in payloads))
    content[place % len(content)] ^= flip
    assert isinstance(read_records(bytes(content)), Failure)


@pytest.mark.asyncio
async def test_log_survives_restart(tmp_path):
    """Guards against a restart that loses the vote or replaced entries."""
    log = await open_log(tmp_path)
    hard_state = log.hard_state.__class__('i1', 'cluster', 7, Member('a', 'x'))
    await log.save_hard_state(hard_state)
    await log.append(entries(1, 9))
    await log.append(entries(5, 6, term=2))
    reopened = await open_log(tmp_path, 'other')
    assert reopened.hard_state == hard_state
    assert reopened.last == LogPosition(2, 6)
    assert reopened.entries(1, 6) == (*entries(1, 4), *entries(5, 6, term=2))


@pytest.mark.asyncio
async def test_compaction_keeps_later_entries(tmp_path):
    """Guards against a compaction that loses or duplicates entries."""
    log = await open_log(tmp_path)
    await log.append(entries(1, 9))
    snapshot = Snapshot(
        LogPosition(1, 6),
        log.membership,
        ControlState().image(),
    )
    await log.compact(snapshot)
    await log.append(entries(10, 11))
    reopened = await open_log(tmp_path)
    assert reopened.loaded_snapshot == snapshot
    assert reopened.entries(7, 11) == entries(7, 11)
    assert not reopened.contains(LogPosition(2, 6))


@pytest.mark.asyncio
@pytest.mark.parametrize('term', [1, 2])
async def test_crash_between_snapshot_and_log(tmp_path, term):
    """Guards against replaced entries after a newly installed snapshot."""
    log = await open_log(tmp_path)
    await log.append(entries(1, 9))
    old_content = (tmp_path / LOG_FILE).read_bytes()
    state = ControlState().image()
    await log.compact(Snapshot(LogPosition(term, 6), log.membership, state))
    (tmp_path / LOG_FILE).write_bytes(old_content)
    reopened = await open_log(tmp_path)
    assert reopened.last == (
        LogPosition(1, 9) if term == 1 else LogPosition(2, 6)
    )


@pytest.mark.asyncio
@pytest.mark.parametrize('name', sorted(REQUIRED_FILES))
@pytest.mark.parametrize('damage', ['empty', 'missing', 'flipped', 'short'])
async def test_damaged_file_is_reported(tmp_path, name, damage):
    """Guards against a damaged or missing file that is read as valid state."""
    log = await open_log(tmp_path)
    await log.append(entries(1, 3))
    path = tmp_path / name
    content = path.read_bytes()
    if damage == 'missing':
        path.unlink()
    elif damage == 'empty':
        path.write_bytes(b'')
    elif damage == 'flipped':
        middle = len(content) // 2
        flipped = bytes([content[middle] ^ 1])
        path.write_bytes(content[:middle] + flipped + content[middle + 1 :])
    else:
        path.write_bytes(content[: HEADER_BYTES - 1])
    result = await DurableLog.open(FileDisk(tmp_path), 'i2')
    assert failure_kind(result) is DiskErrorKind.corrupt


@pytest.mark.asyncio
async def test_unfinished_set_up_starts_over(tmp_path):
    """Guards against a crash in the first start that is reported as corrupt."""
    await open_log(tmp_path)
    (tmp_path / CREATING_FILE).write_bytes(b'')
    (tmp_path / HARD_STATE_FILE).unlink()
    assert (await open_log(tmp_path, 'i2')).hard_state.incarnation == 'i2'


@pytest.mark.asyncio
async def test_missing_entries_before_log(tmp_path):
    """Guards against accepting a snapshot older than the start of the log."""
    log = await open_log(tmp_path)
    old_content = (tmp_path / SNAPSHOT_FILE).read_bytes()
    await log.append(entries(1, 9))
    state = ControlState().image()
    await log.compact(Snapshot(LogPosition(1, 6), log.membership, state))
    (tmp_path / SNAPSHOT_FILE).write_bytes(old_content)
    result = await DurableLog.open(FileDisk(tmp_path), 'i2')
    assert failure_kind(result) is DiskErrorKind.corrupt


@pytest.mark.asyncio
@pytest.mark.parametrize('place', ['pwrite', 'fsync'])
async def test_full_disk_that_gets_space(tmp_path, monkeypatch, place):
    """Guards against a partial record in the log, left by a full disk."""
    log = await open_log(tmp_path)
    await log.append(entries(1, 3))
    real_call = getattr(os, place)
    calls = []

    def no_space(fd, *args):
        calls.append(fd)
        if len(calls) == 1 and place == 'pwrite':
            return real_call(fd, args[0][:7], args[1])
        raise OSError(errno.ENOSPC, 'no space')

    monkeypatch.setattr(storage.os, place, no_space)
    assert failure_kind(await log.append(entries(4, 5))) is DiskErrorKind.full
    assert (
        failure_kind(await log.save_hard_state(log.hard_state))
        is DiskErrorKind.full
    )
    assert log.last.index == 3
    monkeypatch.setattr(storage.os, place, real_call)
    assert isinstance(await log.append(entries(4, 4, term=2)), Success)
    reopened = await open_log(tmp_path)
    assert reopened.entries(1, 4) == (*entries(1, 3), *entries(4, 4, term=2))
    assert {path.name for path in tmp_path.iterdir()} == REQUIRED_FILES


@pytest.mark.asyncio
@pytest.mark.parametrize('cleanup', ['ftruncate', 'unlink'])
async def test_full_disk_that_fails_the_cleanup(tmp_path, monkeypatch, cleanup):
    """Guards against a full disk that is taken for a broken one.

    A replica with a broken disk is inactive for longer.
    """
    log = await open_log(tmp_path)

    def no_space(*_args):
        raise OSError(errno.ENOSPC, 'no space')

    calls = []
    real_cleanup = getattr(os, cleanup)

    def broken(*args, **options):
        calls.append(args)
        if cleanup == 'unlink' or len(calls) > 1:
            raise OSError(errno.EIO, 'input/output error')
        return real_cleanup(*args, **options)

    monkeypatch.setattr(storage.os, 'pwrite', no_space)
    monkeypatch.setattr(storage.os, cleanup, broken)
    if cleanup == 'unlink':
        written = await log.save_hard_state(log.hard_state)
    else:
        written = await log.append(entries(1, 1))
    assert calls
    assert failure_kind(written) is DiskErrorKind.full


@pytest.mark.asyncio
async def test_write_that_takes_nothing_fails(tmp_path, monkeypatch):
    """Guards against a process that repeats such a write for ever."""
    log = await open_log(tmp_path)
    calls = []

    def take_nothing(fd, *_args):
        calls.append(fd)
        assert len(calls) < 10, 'the write is repeated for ever'
        return 0

    monkeypatch.setattr(storage.os, 'pwrite', take_nothing)
    assert failure_kind(await log.append(entries(1, 1))) is DiskErrorKind.full


@pytest.mark.asyncio
async def test_failed_sync_is_no_full_disk(tmp_path, monkeypatch):
    """Guards against a failed sync that is reported as a full disk."""
    log = await open_log(tmp_path)

    def broken(_fd):
        raise OSError(errno.EIO, 'input/output error')

    monkeypatch.setattr(storage.os, 'fsync', broken)
    assert failure_kind(await log.append(entries(1, 1))) is DiskErrorKind.failed


@pytest.mark.asyncio
async def test_loop_runs_during_sync(tmp_path, monkeypatch):
    """Guards against a slow disk that blocks the event loop."""
    log = await open_log(tmp_path)
    loop = asyncio.get_running_loop()
    reached = asyncio.Event()
    real_call = os.fsync

    def slow(fd):
        # Returns only after the event loop has run another task.
        asyncio.run_coroutine_threadsafe(reached.wait(), loop).result(10)
        real_call(fd)

    monkeypatch.setattr(storage.os, 'fsync', slow)
    writing = asyncio.create_task(log.append(entries(1, 1)))
    await asyncio.sleep(0)
    reached.set()
    assert isinstance(await writing, Success)


@settings(max_examples=30, deadline=None)
@given(cut=strategies.integers(0, 400))
def test_torn_log_keeps_a_prefix(tmp_path_factory, cut):
    """Guards against a torn write of several entries that breaks a restart."""

    async def run(folder: pathlib.Path) -> None:
        log = await open_log(folder)
        await log.append(entries(1, 3))
        synced = (folder / LOG_FILE).stat().st_size
        await log.append(entries(4, 9))
        path = folder / LOG_FILE
        content = path.read_bytes()
        path.write_bytes(content[: max(synced, len(content) - cut)])
        reopened = await open_log(folder)
        end = reopened.last.index
        assert reopened.entries(1, end) == entries(1, end)
        assert 3 <= end <= 9
        await reopened.append(entries(end + 1, end + 1, term=2))
        last = await open_log(folder)
        assert last.last == LogPosition(2, end + 1)

    asyncio.run(run(tmp_path_factory.mktemp('torn')))


def _record_syncs(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    synced: list[str] = []
    fsync = os.fsync

    def record(descriptor: int) -> None:
        synced.append(os.readlink(f'/proc/self/fd/{descriptor}'))
        fsync(descriptor)

    monkeypatch.setattr(storage.os, 'fsync', record)
    return synced


async def test_what_was_read_is_synced(tmp_path, monkeypatch):
    """Guards against entries that are acted on after a kill and then lost.

    A process that is killed between a write and its sync leaves bytes that
    the next process reads, and that a power loss takes away.
    """
    (tmp_path / 'log').write_bytes(b'unsynced')
    synced = _record_syncs(monkeypatch)
    assert await FileDisk(tmp_path).read('log') == Success(b'unsynced')
    assert synced == [str(tmp_path / 'log')]


async def test_names_that_were_read_are_synced(tmp_path, monkeypatch):
    """Guards against a rename before a kill that a power loss takes back."""
    (tmp_path / 'log').write_bytes(b'')
    synced = _record_syncs(monkeypatch)
    assert await FileDisk(tmp_path).file_names() == Success(('log',))
    assert str(tmp_path) in synced
