"""Tests of values that alternate between two files.

They guard against a durable value that a power loss takes away.
"""

import os

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
