"""Durable values that are replaced as a whole with one sync."""

import abc
import asyncio
import contextlib
import os
import pathlib
import struct
import zlib
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Generic, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..logging_setup import logger
from ..storage import DiskError, DiskErrorKind

_HEAD = struct.Struct('<QII')
_SUFFIXES = ('a', 'b')

_Value = TypeVar('_Value')
_log = logger('register')


class AlternatingFile(Generic[_Value]):
    """Two files that take turns, so that one always holds a whole value.

    A write that is torn by a power loss leaves the other file as it was.
    One sync makes a value durable: no name changes.

    :param folder: where the files are.
    :param name: their name without the last letter.
    :param kind: type of the value.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        kind: type[_Value],
    ) -> None:
        self._paths = [folder / f'{name}.{suffix}' for suffix in _SUFFIXES]
        self._kind = kind
        self._sequence = 0
        self._turn = 0

    def load(self) -> _Value | None:
        """Return the newest whole value, or nothing if there is none."""
        newest: tuple[int, int, bytes] | None = None
        for turn, path in enumerate(self._paths):
            found = _read(path)
            if found is not None and (newest is None or found[0] > newest[0]):
                newest = (found[0], turn, found[1])
        if newest is None:
            return None
        self._sequence = newest[0]
        self._turn = 1 - newest[1]
        payload = newest[2]
        return msgspec.msgpack.decode(payload, type=self._kind)

    def exists(self) -> bool:
        """Tell whether any of the files is there."""
        return any(path.exists() for path in self._paths)

    def save(self, value: _Value) -> None:
        """Write a value and sync it; raise OSError if the disk refuses.

        :param value: the value.
        """
        payload = msgspec.msgpack.encode(value)
        sequence = self._sequence + 1
        head = _HEAD.pack(sequence, len(payload), zlib.crc32(payload))
        check = struct.pack('<I', zlib.crc32(head))
        path = self._paths[self._turn]
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            _write_all(descriptor, head + check + payload)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._sequence = sequence
        self._turn = 1 - self._turn


class DiskExecutor(abc.ABC):
    """Runs blocking disk operations one after the other."""

    @abc.abstractmethod
    async def run(self, operation: Any, *args: Any) -> Result[Any, DiskError]:
        """Return the outcome of an operation, or what the disk refused.

        :param operation: the blocking function.
        :param args: its arguments.
        """


class ThreadDiskExecutor(DiskExecutor):
    """Runs them in a thread, so that a slow disk holds nothing else up."""

    def __init__(self) -> None:
        self._thread = ThreadPoolExecutor(1, 'disk')

    async def run(self, operation: Any, *args: Any) -> Result[Any, DiskError]:
        """Return the outcome of an operation, or what the disk refused.

        :param operation: the blocking function.
        :param args: its arguments.
        """
        loop = asyncio.get_running_loop()
        try:
            return Success(
                await loop.run_in_executor(self._thread, operation, *args),
            )
        except OSError as exc:
            _log.warning('disk refused', error=str(exc))
            return Failure(
                DiskError(DiskErrorKind.failed, str(exc.filename), str(exc)),
            )


def prepare_folder(folder: pathlib.Path) -> None:
    """Make a folder for durable files.

    :param folder: its path.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with contextlib.suppress(OSError):
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, content: bytes) -> None:
    offset = 0
    while offset < len(content):
        offset += os.pwrite(descriptor, content[offset:], offset)


def _read(path: pathlib.Path) -> tuple[int, bytes] | None:
    try:
        content = path.read_bytes()
    except FileNotFoundError:
        return None
    size = _HEAD.size + 4
    if len(content) < size:
        _log.warning('torn file', file=path.name, size=len(content))
        return None
    head = content[: _HEAD.size]
    check = struct.unpack('<I', content[_HEAD.size : size])[0]
    sequence, length, crc = _HEAD.unpack(head)
    payload = content[size : size + length]
    if check != zlib.crc32(head) or crc != zlib.crc32(payload):
        _log.warning('torn file', file=path.name, size=len(content))
        return None
    return sequence, payload
