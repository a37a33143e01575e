"""Durable values, each replaced as a whole with a single sync.

A value alternates between two files, so a write that a power loss tears
leaves the previous value readable. A rename would need a second sync, of the
directory.
"""

import abc
import asyncio
import os
import pathlib
import struct
import zlib
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Generic, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..logging_setup import logger
from ..storage import DiskError, DiskErrorKind, sync_path, write_all

_HEADER = struct.Struct('<QII')
_SUFFIXES = ('a', 'b')

_Value = TypeVar('_Value')
_log = logger('register')


class AlternatingFile(Generic[_Value]):
    """A durable value that is written to two files in turn.

    A write that is torn by a power loss leaves the other file unchanged. One
    sync makes a value durable, as no file is renamed.

    :param folder: the directory of the files.
    :param name: their name without the suffix.
    :param value_type: type of the value.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        value_type: type[_Value],
    ) -> None:
        self._paths = [folder / f'{name}.{suffix}' for suffix in _SUFFIXES]
        self._value_type = value_type
        self._sequence = 0
        self._write_index = 0
        #: Indexes of the files whose names outlast a power loss.
        self._durable_names: set[int] = set()

    def trust_names(self) -> None:
        """Take the names of the present files as durable.

        The folder has been synced since they were created.
        """
        self._durable_names = {
            index for index, path in enumerate(self._paths) if path.exists()
        }

    def load(self) -> _Value | None:
        """Return the newest intact value, or none if there is none.

        It is synced first: a process that was killed between a write and its
        sync leaves bytes that can be read and that a power loss takes away.

        :raises OSError: if it can't be read or synced.
        """
        newest: tuple[int, int, bytes] | None = None
        for index, path in enumerate(self._paths):
            record = _read_record(path)
            if record is not None and (newest is None or record[0] > newest[0]):
                newest = (record[0], index, record[1])
        if newest is None:
            return None
        sync_path(self._paths[newest[1]])
        self._sequence = newest[0]
        self._write_index = 1 - newest[1]
        payload = newest[2]
        return msgspec.msgpack.decode(payload, type=self._value_type)

    def exists(self) -> bool:
        """Tell whether any of the two files exists."""
        return any(path.exists() for path in self._paths)

    def is_damaged(self) -> bool:
        """Tell whether a value that was durable once cannot be read.

        The second file is created only after the first is durable, so a torn
        write never leaves two unreadable files.
        """
        return all(path.exists() for path in self._paths) and all(
            _read_record(path) is None for path in self._paths
        )

    def save(self, value: _Value) -> None:
        """Write and sync a value; raise OSError if that fails.

        :param value: the value.
        """
        payload = msgspec.msgpack.encode(value)
        sequence = self._sequence + 1
        header = _HEADER.pack(sequence, len(payload), zlib.crc32(payload))
        header_crc = struct.pack('<I', zlib.crc32(header))
        path = self._paths[self._write_index]
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            write_all(descriptor, 0, header + header_crc + payload)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        if self._write_index not in self._durable_names:
            # A former write may have created the file and failed, so that it
            # is there without a durable name.
            sync_path(path.parent)
            self._durable_names.add(self._write_index)
        self._sequence = sequence
        self._write_index = 1 - self._write_index


class DiskExecutor(abc.ABC):
    """Runs blocking disk operations one at a time."""

    @abc.abstractmethod
    async def run(self, operation: Any, *args: Any) -> Result[Any, DiskError]:
        """Return the outcome of an operation, or the disk error.

        :param operation: the blocking function.
        :param args: its arguments.
        """


class ThreadDiskExecutor(DiskExecutor):
    """Runs disk operations in a thread; a slow disk blocks no event loop."""

    def __init__(self) -> None:
        self._executor = ThreadPoolExecutor(1, 'disk')

    async def run(self, operation: Any, *args: Any) -> Result[Any, DiskError]:
        """Return the outcome of an operation, or the disk error.

        :param operation: the blocking function.
        :param args: its arguments.
        """
        loop = asyncio.get_running_loop()
        try:
            return Success(
                await loop.run_in_executor(self._executor, operation, *args),
            )
        except OSError as exc:
            _log.warning('disk operation failed', error=str(exc))
            return Failure(
                DiskError(DiskErrorKind.failed, str(exc.filename), str(exc)),
            )


def prepare_folder(folder: pathlib.Path) -> bool:
    """Create a directory for durable files and sync it.

    :param folder: its path.
    :returns: whether the names of the files in it are durable.
    """
    folder.mkdir(parents=True, exist_ok=True)
    try:
        sync_path(folder)
    except OSError as exc:
        _log.warning('folder not synced', error=str(exc))
        return False
    return True


def _read_record(path: pathlib.Path) -> tuple[int, bytes] | None:
    try:
        content = path.read_bytes()
    except FileNotFoundError:
        return None
    header_size = _HEADER.size + 4
    if len(content) < header_size:
        _log.warning('ignored a torn file', file=path.name, size=len(content))
        return None
    header = content[: _HEADER.size]
    header_crc = struct.unpack('<I', content[_HEADER.size : header_size])[0]
    sequence, length, payload_crc = _HEADER.unpack(header)
    payload = content[header_size : header_size + length]
    if header_crc != zlib.crc32(header) or payload_crc != zlib.crc32(payload):
        _log.warning('ignored a torn file', file=path.name, size=len(content))
        return None
    return sequence, payload
