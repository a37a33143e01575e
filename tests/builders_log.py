"""A disk in memory that crashes before a chosen write."""

from returns.result import Result, Success

from cuminhoist.storage import Disk, DiskError


class PowerLost(Exception):
    """The process has ended before a write."""


class CrashingDisk(Disk):
    """Files in memory; all writes are durable until the crash.

    :param files: content of the files, shared by successive processes.
    :param writes_left: number of writes before the crash.
    """

    def __init__(
        self, files: dict[str, bytes], writes_left: float = float('inf')
    ) -> None:
        self.files = files
        self.writes_left = writes_left

    async def file_names(self) -> Result[tuple[str, ...], DiskError]:
        return Success(tuple(self.files))

    async def read(self, name: str) -> Result[bytes, DiskError]:
        return Success(self.files[name])

    async def write_at(
        self, name: str, offset: int, content: bytes
    ) -> Result[None, DiskError]:
        self._count_write()
        self.files[name] = self.files[name][:offset] + content
        return Success(None)

    async def replace(
        self, name: str, content: bytes
    ) -> Result[None, DiskError]:
        self._count_write()
        self.files[name] = content
        return Success(None)

    async def remove(self, name: str) -> Result[None, DiskError]:
        self._count_write()
        self.files.pop(name, None)
        return Success(None)

    async def move_to_subfolder(self, label: str) -> Result[None, DiskError]:
        raise NotImplementedError

    def _count_write(self) -> None:
        if self.writes_left <= 0:
            raise PowerLost
        self.writes_left -= 1
