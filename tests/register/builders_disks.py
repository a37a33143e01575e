"""Disks without room and disks that lose power, below the system calls."""

import asyncio
import contextlib
import errno
import os
import pathlib
import random
import stat
from collections.abc import Callable
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from cuminhoist.register.store import DiskExecutor
from cuminhoist.storage import DiskError, DiskErrorKind

#: Calls that a full disk can fail.
FULL_FOR = ('create', 'write', 'sync', 'name')
#: Shortest and longest time of a sync of a quick and a slow disk, in seconds.
QUICK_SYNC_S = (0.002, 0.02)
SLOW_SYNC_S = (0.08, 0.15)


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

    The folder may hold one folder for each machine. The names of files are
    taken as durable unless ``loses_names`` is set.

    :param monkeypatch: puts the calls in place for a test.
    :param folder: the folder.
    :param rng: draws what is left of bytes that were not synced.
    :param loses_names: whether a file whose folder was not synced since it
        was created may be gone.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        folder: pathlib.Path,
        rng: random.Random,
        *,
        loses_names: bool = False,
    ) -> None:
        #: Whether the process is killed before the next sync.
        self.kills = False
        #: Whether bytes that were not synced are always torn.
        self.tears = False
        #: Shortest and longest time of a sync, in seconds.
        self.sync_s = QUICK_SYNC_S
        self._folder = folder
        self._rng = rng
        self._loses_names = loses_names
        self._durable: dict[pathlib.Path, bytes] = {}
        self._durable_names: set[pathlib.Path] = set()
        self._fsync = os.fsync
        monkeypatch.setattr(os, 'fsync', self.fsync)

    def fsync(self, descriptor: int) -> None:
        """Sync a file or a folder, or end the process before."""
        path = pathlib.Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if not path.is_relative_to(self._folder):
            self._fsync(descriptor)
        elif path.is_dir():
            self._durable_names.update(path.iterdir())
        else:
            if self.kills:
                raise Killed
            self._durable[path] = path.read_bytes()

    def interrupt(self, operation: Callable[..., Any], *args: Any) -> None:
        """Run a write up to its sync; the process is killed then."""
        self.kills = True
        with contextlib.suppress(Killed):
            operation(*args)
        self.kills = False

    def lose_power(self, folder: pathlib.Path | None = None) -> None:
        """Leave of each file what was synced, or a part of what was not.

        :param folder: the folder of one machine; by default the whole one.
        """
        for path in sorted((folder or self._folder).iterdir()):
            synced, unsynced = self._durable.get(path, b''), path.read_bytes()
            torn = unsynced[: self._rng.randrange(len(unsynced) + 1)]
            torn += synced[len(torn) :]
            left = self._rng.choice([synced, synced, torn, unsynced])
            if self.tears:
                left = torn
            path.write_bytes(left)
            self._durable[path] = left
            has_name = not self._loses_names or path in self._durable_names
            if not has_name and self._rng.random() < 0.5:
                path.unlink()
                self._durable.pop(path)

    def forget(self, folder: pathlib.Path) -> None:
        """Take the files of a folder as gone, as its disk is lost."""
        for path in [path for path in self._durable if path.parent == folder]:
            self._durable.pop(path)
        self._durable_names = {
            path for path in self._durable_names if path.parent != folder
        }


class PoweredDisk(DiskExecutor):
    """A disk whose writes take time; the end of the process interrupts them.

    :param unsynced: keeps what a power loss leaves.
    :param rng: draws the times, and which writes had begun.
    """

    def __init__(self, unsynced: UnsyncedDisk, rng: random.Random) -> None:
        self._unsynced = unsynced
        self._rng = rng
        self._has_ended = False
        self._running: list[tuple[Any, ...]] = []

    async def run(self, operation: Any, *args: Any) -> Result[Any, DiskError]:
        """Return the outcome of an operation; a failure after the end."""
        call = (operation, *args)
        if not self._has_ended:
            self._running.append(call)
            await asyncio.sleep(self._rng.uniform(*self._unsynced.sync_s))
        if self._has_ended:
            return Failure(DiskError(DiskErrorKind.failed, '', 'ended'))
        self._running.remove(call)
        return Success(operation(*args))

    def end(self) -> None:
        """End the process: what it was writing may be there, unsynced."""
        self._has_ended = True
        for call in self._running:
            if self._rng.random() < 0.8:
                self._unsynced.interrupt(*call)
        self._running = []
