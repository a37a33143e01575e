"""Durable files: checked records on a disk that can fail or be full."""

import abc
import asyncio
import enum
import errno
import os
import pathlib
import struct
import zlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import ParamSpec, TypeVar

import msgspec
from returns.result import Failure, Result, Success

_FULL = frozenset((errno.ENOSPC, errno.EDQUOT))
_HEAD = struct.Struct('<II')
_CHECK = struct.Struct('<I')
HEAD_BYTES = _HEAD.size + _CHECK.size
TMP_SUFFIX = '.tmp'

_Args = ParamSpec('_Args')
_Out = TypeVar('_Out')


class DiskErrorKind(enum.StrEnum):
    """What went wrong with a file."""

    full = 'disk-full'
    failed = 'disk-failed'
    corrupt = 'corrupt'


class DiskError(msgspec.Struct, frozen=True):
    """An operation on a durable file failed.

    :param kind: what the replica may do about it.
    :param file: name of the file, empty for the folder.
    :param reason: the fault, for operators.
    """

    kind: DiskErrorKind
    file: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        return f'{self.kind}: {self.file}: {self.reason}'


class Records(msgspec.Struct, frozen=True):
    """The valid records of a file.

    :param payloads: contents of the complete records.
    :param size: bytes up to the end of the last complete record.
    """

    payloads: tuple[bytes, ...]
    size: int


def pack_record(payload: bytes) -> bytes:
    """Return a payload with its length and checksums.

    The header has a checksum of its own: a damaged length would otherwise
    look like an incomplete last record, and the records behind it would be
    truncated although they were acknowledged.

    :param payload: content of the record.
    """
    head = _HEAD.pack(len(payload), zlib.crc32(payload))
    return head + _CHECK.pack(zlib.crc32(head)) + payload


def read_records(content: bytes) -> Result[Records, str]:
    """Return the complete records, or why the content is corrupt.

    An incomplete last record is left out.

    :param content: bytes of a file.
    """
    payloads: list[bytes] = []
    pos = 0
    while len(content) - pos >= HEAD_BYTES:
        head = content[pos : pos + _HEAD.size]
        check = content[pos + _HEAD.size : pos + HEAD_BYTES]
        if _CHECK.unpack(check)[0] != zlib.crc32(head):
            return Failure(f'wrong header checksum at byte {pos}')
        length, crc = _HEAD.unpack(head)
        payload = content[pos + HEAD_BYTES : pos + HEAD_BYTES + length]
        if len(payload) < length:
            break
        if zlib.crc32(payload) != crc:
            return Failure(f'wrong checksum at byte {pos}')
        payloads.append(payload)
        pos += HEAD_BYTES + length
    return Success(Records(tuple(payloads), pos))


class Disk(abc.ABC):
    """Files in one folder that are durable once a call has succeeded."""

    @abc.abstractmethod
    async def names(self) -> Result[tuple[str, ...], DiskError]:
        """Return the names of all files."""

    @abc.abstractmethod
    async def read(self, name: str) -> Result[bytes, DiskError]:
        """Return the content of a file.

        :param name: name of the file.
        """

    @abc.abstractmethod
    async def write_at(
        self,
        name: str,
        offset: int,
        content: bytes,
    ) -> Result[None, DiskError]:
        """Replace all bytes from an offset on and sync the file.

        After a failure the bytes before the offset are unchanged, and the
        call can be repeated.

        :param name: name of the file.
        :param offset: where the content starts.
        :param content: the new bytes.
        """

    @abc.abstractmethod
    async def replace(
        self,
        name: str,
        content: bytes,
    ) -> Result[None, DiskError]:
        """Replace a file as a whole and sync the file and its folder.

        :param name: name of the file.
        :param content: the new content.
        """

    @abc.abstractmethod
    async def remove(self, name: str) -> Result[None, DiskError]:
        """Remove a file and sync the folder.

        :param name: name of the file.
        """

    @abc.abstractmethod
    async def set_aside(self, label: str) -> Result[None, DiskError]:
        """Move all files to a folder of their own, for inspection.

        :param label: name of that folder.
        """


class FileDisk(Disk):
    """A folder of the operating system.

    :param folder: the folder; created if it is missing.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        # One thread keeps the operations in order, also when the task that
        # waits for one of them is cancelled.
        self._thread = ThreadPoolExecutor(
            max_workers=1,
            thread_name_prefix='disk',
        )

    async def names(self) -> Result[tuple[str, ...], DiskError]:
        """Return the names of all files."""
        return await self._run('', self._names)

    async def read(self, name: str) -> Result[bytes, DiskError]:
        """Return the content of a file.

        :param name: name of the file.
        """
        return await self._run(name, (self._folder / name).read_bytes)

    async def write_at(
        self,
        name: str,
        offset: int,
        content: bytes,
    ) -> Result[None, DiskError]:
        """Replace all bytes from an offset on and sync the file.

        :param name: name of the file.
        :param offset: where the content starts.
        :param content: the new bytes.
        """
        path = self._folder / name
        return await self._run(name, _write_at, path, offset, content)

    async def replace(
        self,
        name: str,
        content: bytes,
    ) -> Result[None, DiskError]:
        """Replace a file as a whole and sync the file and its folder.

        :param name: name of the file.
        :param content: the new content.
        """
        return await self._run(name, _replace, self._folder / name, content)

    async def remove(self, name: str) -> Result[None, DiskError]:
        """Remove a file and sync the folder.

        :param name: name of the file.
        """
        return await self._run(name, _remove, self._folder / name)

    async def set_aside(self, label: str) -> Result[None, DiskError]:
        """Move all files to a folder of their own, for inspection.

        :param label: name of that folder.
        """
        return await self._run('', _set_aside, self._folder, label)

    def _names(self) -> tuple[str, ...]:
        self._folder.mkdir(parents=True, exist_ok=True)
        _sync_folder(self._folder.parent)
        return tuple(
            path.name for path in self._folder.iterdir() if path.is_file()
        )

    async def _run(
        self,
        name: str,
        work: Callable[_Args, _Out],
        *args: _Args.args,
        **kwargs: _Args.kwargs,
    ) -> Result[_Out, DiskError]:
        loop = asyncio.get_running_loop()
        try:
            return Success(
                await loop.run_in_executor(
                    self._thread,
                    lambda: work(*args, **kwargs),
                ),
            )
        except OSError as exc:
            kind = DiskErrorKind.failed
            if exc.errno in _FULL:
                kind = DiskErrorKind.full
            return Failure(DiskError(kind, name, str(exc)))


def _write_at(path: pathlib.Path, offset: int, content: bytes) -> None:
    fd = os.open(path, os.O_RDWR)
    try:
        _write_and_sync(fd, offset, content)
    finally:
        os.close(fd)


def _write_and_sync(fd: int, offset: int, content: bytes) -> None:
    os.ftruncate(fd, offset)
    try:
        _write_all(fd, offset, content)
    except OSError:
        os.ftruncate(fd, offset)
        raise
    os.fsync(fd)


def _write_all(fd: int, offset: int, content: bytes) -> None:
    view = memoryview(content)
    while view:
        written = os.pwrite(fd, view, offset)
        offset += written
        view = view[written:]


def _replace(path: pathlib.Path, content: bytes) -> None:
    partial = path.with_name(path.name + TMP_SUFFIX)
    fd = os.open(partial, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_and_sync(fd, 0, content)
    except OSError:
        partial.unlink()
        raise
    finally:
        os.close(fd)
    partial.replace(path)
    _sync_folder(path.parent)


def _remove(path: pathlib.Path) -> None:
    path.unlink(missing_ok=True)
    _sync_folder(path.parent)


def _set_aside(folder: pathlib.Path, label: str) -> None:
    aside = folder / label
    aside.mkdir()
    for path in tuple(folder.iterdir()):
        if path.is_file():
            path.rename(aside / path.name)
    _sync_folder(aside)
    _sync_folder(folder)


def _sync_folder(folder: pathlib.Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
