"""Virtual time, a fake disk and a fake network for control replicas."""

import asyncio
import contextvars
import random
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from cuminhoist.clock import Clock
from cuminhoist.storage import Disk, DiskError, DiskErrorKind

#: Node of the running task; a crash of the node ends its tasks.
current_node: contextvars.ContextVar[Any] = contextvars.ContextVar(
    'current_node',
    default=None,
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time, which skips idle periods."""

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = 1000.0
        self.set_task_factory(_create_task)

    def time(self) -> float:
        return self._virtual_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            due = self._scheduled[0]._when
            self._virtual_s = max(self._virtual_s, due)
        super()._run_once()


def _create_task(
    loop: Any, coro: Any, context: Any = None
) -> asyncio.Task[Any]:
    node = current_node.get() if context is None else context.get(current_node)
    task = asyncio.Task(coro, loop=loop, context=context)
    if node is not None:
        node.tasks[task] = None
        task.add_done_callback(node.tasks.pop)
    return task


class LoopClock(Clock):
    """A clock that reads the virtual time of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return self._loop.time()


class FakeDisk(Disk):
    """Files in memory, durable at the end of each operation.

    A crash during an operation leaves a prefix of an appended write, or
    either the old or the new content of a replaced file.
    """

    def __init__(self, rng: random.Random) -> None:
        self.files: dict[str, bytes] = {}
        self.subfolders: dict[str, dict[str, bytes]] = {}
        self.full = False
        #: How writes fail while the disk is full.
        self.error_kind = DiskErrorKind.full
        self.delay_s = 0.002
        self._rng = rng
        self._incarnation = 0
        self._unsynced: Callable[[], None] | None = None

    def crash(self) -> None:
        """Drop unsynced data; operations of the old process never return."""
        self._incarnation += 1
        if self._unsynced is not None:
            self._unsynced()
        self._unsynced = None

    async def file_names(self) -> Result[tuple[str, ...], DiskError]:
        return Success(tuple(self.files))

    async def read(self, name: str) -> Result[bytes, DiskError]:
        return Success(self.files[name])

    async def write_at(
        self, name: str, offset: int, content: bytes
    ) -> Result[None, DiskError]:
        def write_partially() -> None:
            prefix = content[: self._rng.randint(0, len(content))]
            self.files[name] = self.files[name][:offset] + prefix

        def write_all() -> None:
            self.files[name] = self.files[name][:offset] + content

        return await self._change(name, write_partially, write_all)

    async def replace(
        self, name: str, content: bytes
    ) -> Result[None, DiskError]:
        def write_all() -> None:
            self.files[name] = content

        def write_partially() -> None:
            if self._rng.random() < 0.5:
                write_all()

        return await self._change(name, write_partially, write_all)

    async def remove(self, name: str) -> Result[None, DiskError]:
        self.files.pop(name, None)
        return Success(None)

    async def move_to_subfolder(self, label: str) -> Result[None, DiskError]:
        self.subfolders[label] = self.files
        self.files = {}
        return Success(None)

    async def _change(
        self,
        name: str,
        write_partially: Callable[[], None],
        write_all: Callable[[], None],
    ) -> Result[None, DiskError]:
        incarnation = self._incarnation
        if self.full:
            return Failure(DiskError(self.error_kind, name, 'no space'))
        self._unsynced = write_partially
        await asyncio.sleep(self._rng.uniform(0, self.delay_s))
        node = current_node.get()
        if node is not None:
            await node.not_paused.wait()
        if incarnation != self._incarnation:
            await asyncio.Event().wait()
        self._unsynced = None
        write_all()
        return Success(None)


class Network:
    """Partitions, delays, losses and duplicates of messages."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.blocked_links: set[tuple[str, str]] = set()
        self.delay_s = 0.01
        self.loss = 0.0
        self.duplicates = 0.0

    async def carry(self, source: str, target: str) -> None:
        """Return once a message has arrived; never return if it is lost."""
        await asyncio.sleep(self.rng.uniform(0, self.delay_s))
        lost = self.rng.random() < self.loss
        if lost or (source, target) in self.blocked_links:
            await asyncio.Event().wait()
