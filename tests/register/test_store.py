"""Tests of values that alternate between two files.

They guard against a durable value that a power loss takes away.
"""

import os

import pytest

from cuminhoist.register.store import AlternatingFile


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
