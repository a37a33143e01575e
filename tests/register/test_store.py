"""Tests of values that alternate between two files.

They guard against a durable value that a power loss takes away.
"""

import contextlib
import os
import random

import pytest

from cuminhoist.register.store import AlternatingFile

from .builders_disks import FULL_FOR, FullDisk, Killed, UnsyncedDisk


def test_name_of_a_new_file_is_synced(tmp_path, monkeypatch):
    """Guards against a new file whose name a power loss removes."""
    synced: list[str] = []
    fsync = os.fsync

    def record_fsync(descriptor: int) -> None:
        synced.append(os.readlink(f'/proc/self/fd/{descriptor}'))
        fsync(descriptor)

    monkeypatch.setattr(os, 'fsync', record_fsync)
    value = AlternatingFile(tmp_path, 'value', int)
    for number in (1, 2, 3):
        value.save(number)
    first, second = (str(tmp_path / f'value.{suffix}') for suffix in 'ab')
    folder = str(tmp_path)
    assert synced == [first, folder, second, folder, first]
    assert AlternatingFile(tmp_path, 'value', int).load() == 3


@pytest.mark.parametrize('fails', ['write', 'sync', 'name'])
def test_name_is_synced_after_a_full_disk(tmp_path, monkeypatch, fails):
    """Guards against a power loss that removes a file made on a full disk.

    The failed write has created the file, so that the next one finds it.
    """
    disk = FullDisk(monkeypatch, tmp_path)
    value = AlternatingFile(tmp_path, 'value', int)
    disk.full_for = fails
    with pytest.raises(OSError):
        value.save(1)
    disk.full_for = ''
    disk.synced.clear()
    value.save(1)
    assert disk.synced == [str(tmp_path / 'value.a'), str(tmp_path)]


@pytest.mark.parametrize('seed', range(20))
def test_value_survives_full_disks_and_restarts(tmp_path, monkeypatch, seed):
    """Guards against a value that a failed write, or its repetition, loses."""
    rng = random.Random(seed)
    disk = FullDisk(monkeypatch, tmp_path)
    value = AlternatingFile(tmp_path, 'value', int)
    saved: int | None = None
    tried: set[int] = set()
    for number in range(60):
        disk.full_for = rng.choice(['', '', *FULL_FOR])
        try:
            value.save(number)
        except OSError:
            tried.add(number)
        else:
            saved, tried = number, set()
        if rng.random() < 0.2:
            value = AlternatingFile(tmp_path, 'value', int)
            if disk.full_for == 'sync':
                # What may not be durable is not acted on.
                with contextlib.suppress(OSError):
                    assert value.load() is saved is None
                disk.full_for = ''
            assert value.load() in {saved, *tried}
            assert not value.is_damaged()


@pytest.mark.parametrize('seed', range(20))
def test_value_that_was_read_outlasts_a_power_loss(tmp_path, monkeypatch, seed):
    """Guards against a value that is acted on after a kill and then lost.

    A process that is killed between a write and its sync leaves bytes that
    the next process reads, and that a power loss takes away.
    """
    rng = random.Random(seed)
    disk = UnsyncedDisk(monkeypatch, tmp_path, rng)
    value = AlternatingFile(tmp_path, 'value', int)
    known = -1
    for number in range(80):
        disk.kills = rng.random() < 0.4
        with contextlib.suppress(Killed):
            value.save(number)
            known = number
        disk.kills = False
        if rng.random() < 0.3:
            disk.lose_power()
        value = AlternatingFile(tmp_path, 'value', int)
        loaded = value.load()
        assert known == -1 or loaded >= known
        known = known if loaded is None else loaded
        assert known == -1 or not value.is_damaged()


def test_write_that_takes_nothing_fails(tmp_path, monkeypatch):
    """Guards against a process that repeats such a write for ever."""
    calls = []

    def take_nothing(descriptor, *_args):
        calls.append(descriptor)
        assert len(calls) < 10, 'the write is repeated for ever'
        return 0

    monkeypatch.setattr(os, 'pwrite', take_nothing)
    with pytest.raises(OSError):
        AlternatingFile(tmp_path, 'value', int).save(1)
