"""Durable files of records with checksums.

Writes are synced before they are reported as done. A full disk can be
retried; a failed disk or damaged content is reported as such.
"""

import abc
import asyncio
import contextlib
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

_DISK_FULL_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT))
_HEADER = struct.Struct('<II')
_HEADER_CHECKSUM = struct.Struct('<I')
HEADER_BYTES = _HEADER.size + _HEADER_CHECKSUM.size
TMP_SUFFIX = '.tmp'

_Args = ParamSpec('_Args')
_Return = TypeVar('_Return')


class DiskErrorKind(enum.StrEnum):
    """Kind of a failed operation on a file."""

    full = 'disk-full'
    failed = 'disk-failed'
    corrupt = 'corrupt'


class DiskError(msgspec.Struct, frozen=True):
    """An operation on a durable file failed.

    :param kind: decides how the replica handles the failure.
    :param file: name of the file, empty for the folder.
    :param reason: description for operators.
    """

    kind: DiskErrorKind
    file: str
    reason: str

    def __str__(self) -> str:
        """Return kind, file and reason as one line of text."""
        return f'{self.kind}: {self.file}: {self.reason}'


class Records(msgspec.Struct, frozen=True):
    """The valid records of a file.

    :param payloads: payloads of the complete records.
    :param size: bytes up to the end of the last complete record.
    """

    payloads: tuple[bytes, ...]
    size: int


def pack_record(payload: bytes) -> bytes:
    """Return a record: length, checksums and payload.

    The header has its own checksum. Without it, a damaged length would look
    like an incomplete last record, and the following records would be
    truncated although they were acknowledged.

    :param payload: content of the record.
    """
    header = _HEADER.pack(len(payload), zlib.crc32(payload))
    return header + _HEADER_CHECKSUM.pack(zlib.crc32(header)) + payload


def read_records(content: bytes) -> Result[Records, str]:
    """Return the complete records, or why the content is corrupt.

    An incomplete last record, as left by a torn write, is dropped.

    :param content: bytes of a file.
    """
    payloads: list[bytes] = []
    offset = 0
    while len(content) - offset >= HEADER_BYTES:
        header = content[offset : offset + _HEADER.size]
        header_checksum = content[offset + _HEADER.size : offset + HEADER_BYTES]
        if _HEADER_CHECKSUM.unpack(header_checksum)[0] != zlib.crc32(header):
            return Failure(f'wrong header checksum at byte {offset}')
        length, crc = _HEADER.unpack(header)
        payload = content[
            offset + HEADER_BYTES : offset + HEADER_BYTES + length
        ]
        if len(payload) < length:
            break
        if zlib.crc32(payload) != crc:
            return Failure(f'wrong checksum at byte {offset}')
        payloads.append(payload)
        offset += HEADER_BYTES + length
    return Success(Records(tuple(payloads), offset))


class Disk(abc.ABC):
    """Files in one folder that are durable once a call has succeeded."""

    @abc.abstractmethod
    async def file_names(self) -> Result[tuple[str, ...], DiskError]:
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
        call can be retried.

        :param name: name of the file.
        :param offset: byte position at which the content starts.
        :param content: the new bytes.
        """

    @abc.abstractmethod
    async def replace(
        self,
        name: str,
        content: bytes,
    ) -> Result[None, DiskError]:
        """Replace a file atomically and sync the file and its folder.

        :param name: name of the file.
        :param content: the new content.
        """

    @abc.abstractmethod
    async def remove(self, name: str) -> Result[None, DiskError]:
        """Remove a file and sync the folder.

        :param name: name of the file.
        """

    @abc.abstractmethod
    async def move_to_subfolder(self, label: str) -> Result[None, DiskError]:
        """Move all files to a new subfolder, for inspection.

        :param label: name of the subfolder.
        """


class FileDisk(Disk):
    """Files in a folder of the file system.

    :param folder: path of the folder; created if it is missing.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        # A single thread keeps the operations in order, even if the task
        # that waits for one of them is cancelled.
        self._executor = ThreadPoolExecutor(
            max_workers=1,
            thread_name_prefix='disk',
        )

    async def file_names(self) -> Result[tuple[str, ...], DiskError]:
        """Return the names of all files."""
        return await self._run('', self._file_names)

    async def read(self, name: str) -> Result[bytes, DiskError]:
        """Return the content of a file.

        It is synced first: a process that was killed between a write and its
        sync leaves bytes that can be read and that a power loss takes away.

        :param name: name of the file.
        """
        return await self._run(name, _read_synced, self._folder / name)

    async def write_at(
        self,
        name: str,
        offset: int,
        content: bytes,
    ) -> Result[None, DiskError]:
        """Replace all bytes from an offset on and sync the file.

        :param name: name of the file.
        :param offset: byte position at which the content starts.
        :param content: the new bytes.
        """
        path = self._folder / name
        return await self._run(name, _write_at, path, offset, content)

    async def replace(
        self,
        name: str,
        content: bytes,
    ) -> Result[None, DiskError]:
        """Replace a file atomically and sync the file and its folder.

        :param name: name of the file.
        :param content: the new content.
        """
        return await self._run(name, _replace, self._folder / name, content)

    async def remove(self, name: str) -> Result[None, DiskError]:
        """Remove a file and sync the folder.

        :param name: name of the file.
        """
        return await self._run(name, _remove, self._folder / name)

    async def move_to_subfolder(self, label: str) -> Result[None, DiskError]:
        """Move all files to a new subfolder, for inspection.

        :param label: name of the subfolder.
        """
        return await self._run('', _move_to_subfolder, self._folder, label)

    def _file_names(self) -> tuple[str, ...]:
        self._folder.mkdir(parents=True, exist_ok=True)
        sync_path(self._folder.parent)
        # A process may have been killed between a rename and its sync.
        sync_path(self._folder)
        return tuple(
            path.name for path in self._folder.iterdir() if path.is_file()
        )

    async def _run(
        self,
        name: str,
        operation: Callable[_Args, _Return],
        *args: _Args.args,
        **kwargs: _Args.kwargs,
    ) -> Result[_Return, DiskError]:
        loop = asyncio.get_running_loop()
        try:
            return Success(
                await loop.run_in_executor(
                    self._executor,
                    lambda: operation(*args, **kwargs),
                ),
            )
        except OSError as exc:
            kind = DiskErrorKind.failed
            if exc.errno in _DISK_FULL_ERRNOS:
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
        write_all(fd, offset, content)
    except OSError:
        # The next write truncates the file as well; an error here must not
        # hide that the disk is full.
        with contextlib.suppress(OSError):
            os.ftruncate(fd, offset)
        raise
    os.fsync(fd)


def write_all(fd: int, offset: int, content: bytes) -> None:
    """Write to a file; raise OSError if that fails.

    :param fd: descriptor of the file.
    :param offset: position in the file, in bytes.
    :param content: the bytes.
    """
    remaining = memoryview(content)
    while remaining:
        written = os.pwrite(fd, remaining, offset)
        if not written:
            raise OSError(errno.ENOSPC, 'a write took no byte')
        offset += written
        remaining = remaining[written:]


def _replace(path: pathlib.Path, content: bytes) -> None:
    temp_path = path.with_name(path.name + TMP_SUFFIX)
    fd = os.open(temp_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_and_sync(fd, 0, content)
    except OSError:
        with contextlib.suppress(OSError):
            temp_path.unlink()
        raise
    finally:
        os.close(fd)
    temp_path.replace(path)
    sync_path(path.parent)


def _remove(path: pathlib.Path) -> None:
    path.unlink(missing_ok=True)
    sync_path(path.parent)


def _move_to_subfolder(folder: pathlib.Path, label: str) -> None:
    subfolder = folder / label
    subfolder.mkdir()
    for path in tuple(folder.iterdir()):
        if path.is_file():
            path.rename(subfolder / path.name)
    sync_path(subfolder)
    sync_path(folder)


def _read_synced(path: pathlib.Path) -> bytes:
    sync_path(path)
    return path.read_bytes()


def sync_path(path: pathlib.Path) -> None:
    """Make the content of a file, or names in a folder, durable.

    :param path: the file or the folder.
    :raises OSError: if it can't be synced.
    """
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
