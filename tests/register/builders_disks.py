"""Disks without room and disks that lose power, below the system calls."""

import errno
import os
import pathlib
import random
import stat

import pytest

#: Calls that a full disk can fail.
FULL_FOR = ('create', 'write', 'sync', 'name')


class FullDisk:
    """Fails system calls on files of a folder while its disk is full.

    :param monkeypatch: puts the calls in place for a test.
    :param folder: the folder.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, folder: pathlib.Path
    ) -> None:
        #: The call that fails, of ``FULL_FOR``; empty if there is room.
        self.full_for = ''
        #: Paths that were synced.
        self.synced: list[str] = []
        self._folder = str(folder)
        self._open, self._pwrite, self._fsync = os.open, os.pwrite, os.fsync
        monkeypatch.setattr(os, 'open', self.open)
        monkeypatch.setattr(os, 'pwrite', self.pwrite)
        monkeypatch.setattr(os, 'fsync', self.fsync)

    def open(self, path, flags, *args) -> int:
        """Open a file; creating one may fail."""
        creates = flags & os.O_CREAT and not os.path.exists(path)
        if creates and str(path).startswith(self._folder):
            self._check('create')
        return self._open(path, flags, *args)

    def pwrite(self, descriptor, content, offset) -> int:
        """Write a part of the bytes, or fail."""
        self._check('write', descriptor)
        half = max(len(content) // 2, 1)
        return self._pwrite(descriptor, content[:half], offset)

    def fsync(self, descriptor) -> None:
        """Sync a file or a folder, or fail."""
        is_folder = stat.S_ISDIR(os.fstat(descriptor).st_mode)
        self._check('name' if is_folder else 'sync', descriptor)
        self.synced.append(os.readlink(f'/proc/self/fd/{descriptor}'))
        self._fsync(descriptor)

    def _check(self, call: str, descriptor: int | None = None) -> None:
        if descriptor is not None:
            path = os.readlink(f'/proc/self/fd/{descriptor}')
            if not path.startswith(self._folder):
                return
        if self.full_for == call:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class Killed(Exception):
    """The process has ended within a write."""


class UnsyncedDisk:
    """Keeps what a power loss leaves of the files of a folder.

    The names of files are taken as durable.

    :param monkeypatch: puts the calls in place for a test.
    :param folder: the folder.
    :param rng: draws what is left of bytes that were not synced.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        folder: pathlib.Path,
        rng: random.Random,
    ) -> None:
        #: Whether the process is killed before the next sync.
        self.kills = False
        self._folder = folder
        self._rng = rng
        self._durable: dict[pathlib.Path, bytes] = {}
        self._fsync = os.fsync
        monkeypatch.setattr(os, 'fsync', self.fsync)

    def fsync(self, descriptor: int) -> None:
        """Sync a file, or end the process before."""
        path = pathlib.Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if path.parent == self._folder:
            if self.kills:
                raise Killed
            self._durable[path] = path.read_bytes()
        self._fsync(descriptor)

    def lose_power(self) -> None:
        """Leave of each file what was synced, or a part of what was not."""
        for path in self._folder.iterdir():
            synced, unsynced = self._durable.get(path, b''), path.read_bytes()
            torn = unsynced[: self._rng.randrange(len(unsynced) + 1)]
            torn += synced[len(torn) :]
            left = self._rng.choice([synced, synced, torn, unsynced])
            path.write_bytes(left)
            self._durable[path] = left
