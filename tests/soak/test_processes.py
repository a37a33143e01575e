"""Tests of the faults that the soak injects into disks."""

import os

from soak.evidence import Evidence
from soak.processes import Instance


def test_torn_writes_in_a_row_spare_the_file_in_force(tmp_path):
    """Guards against a fault that destroys data which a program has synced.

    A program writes the older file of a pair, so a crash can tear only that
    one, also if the next crash comes before a whole write.
    """
    instance = Instance('control-a', 'a', '127.0.0.1', tmp_path, {}, Evidence())
    instance.disk.mkdir(parents=True)
    older, newer = instance.disk / 'held.a', instance.disk / 'held.b'
    for seconds, path in enumerate((older, newer), start=1):
        path.write_bytes(b'whole contents')
        os.utime(path, (seconds, seconds))
    instance.tear_write()
    instance.tear_write()
    assert newer.read_bytes() == b'whole contents'
    assert len(older.read_bytes()) < len(b'whole contents')
