"""Disks without room: system calls that fail as on a full file system."""

import errno
import os
import pathlib
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
