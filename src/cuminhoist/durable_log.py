"""The durable log of one replica: vote, snapshot and entries."""

from typing import Self, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from .consensus_messages import (
    LogEntry,
    LogPosition,
    Member,
    Snapshot,
    VoterSet,
)
from .control_state import ControlState
from .storage import (
    TMP_SUFFIX,
    Disk,
    DiskError,
    DiskErrorKind,
    pack_record,
    read_records,
)

VOTE_FILE = 'vote'
SNAPSHOT_FILE = 'snapshot'
LOG_FILE = 'log'
#: Exists while a folder is being set up; nothing was promised before.
CREATING_FILE = 'creating'
FILES = frozenset((VOTE_FILE, SNAPSHOT_FILE, LOG_FILE))

START = LogPosition(0, 0)
NO_MEMBERS = VoterSet(START, ())

_Kind = TypeVar('_Kind')
_Done = Result[None, DiskError]


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a replica and its last promise.

    :param voted_for: the candidate of this term that got the vote.
    """

    incarnation: str
    cluster_id: str = ''
    term: int = 0
    voted_for: Member | None = None


class DurableLog:
    """Entries after a snapshot, all synced before they are visible.

    :param disk: where the files are.
    :param vote: content of the vote file.
    :param snapshot: content of the snapshot file.
    """

    def __init__(self, disk: Disk, vote: HardState, snapshot: Snapshot) -> None:
        self._disk = disk
        self.vote = vote
        self.loaded = snapshot
        self._reset(snapshot)
        self._size = 0

    @classmethod
    async def open(
        cls,
        disk: Disk,
        incarnation: str,
    ) -> Result[Self, DiskError]:
        """Read the files, or set up an empty folder.

        :param disk: where the files are.
        :param incarnation: identity that an empty folder gets.
        """
        names = await disk.names()
        if isinstance(names, Failure):
            return names
        found = {
            name for name in names.unwrap() if not name.endswith(TMP_SUFFIX)
        }
        if not found or CREATING_FILE in found:
            created = await _create(disk, incarnation)
            if isinstance(created, Failure):
                return created
        elif not found >= FILES:
            missing = ', '.join(sorted(FILES - found))
            return _corrupt(missing, 'missing beside other files')
        return await cls._load(disk)

    @property
    def last(self) -> LogPosition:
        """Position of the last entry."""
        return self.position(self.base.index + len(self._entries))

    def position(self, index: int) -> LogPosition:
        """Return the position of an entry that is held.

        :param index: at or after the snapshot.
        """
        if index == self.base.index:
            return self.base
        entry = self._entries[index - self.base.index - 1]
        return LogPosition(entry.term, entry.index)

    def holds(self, position: LogPosition) -> bool:
        """Tell whether an entry is in the log.

        :param position: index and term of the entry.
        """
        if not self.base.index <= position.index <= self.last.index:
            return False
        return self.position(position.index) == position

    def entries(self, start: int, end: int) -> tuple[LogEntry, ...]:
        """Return entries by index.

        :param start: first index, after the snapshot.
        :param end: last index.
        """
        first = start - self.base.index - 1
        return tuple(self._entries[first : end - self.base.index])

    @property
    def membership(self) -> VoterSet:
        """Newest voters, whether committed or not."""
        return self._memberships[-1]

    def membership_at(self, index: int) -> VoterSet:
        """Return the voters as of an entry.

        :param index: at or after the snapshot.
        """
        return next(
            found
            for found in reversed(self._memberships)
            if found.defined_at.index <= index
        )

    async def save_vote(self, vote: HardState) -> _Done:
        """Make a promise durable.

        :param vote: the new content of the vote file.
        """
        content = pack_record(msgspec.msgpack.encode(vote))
        saved = await self._disk.replace(VOTE_FILE, content)
        if isinstance(saved, Success):
            self.vote = vote
        return saved

    async def append(self, entries: tuple[LogEntry, ...]) -> _Done:
        """Add entries; the first one may replace existing ones.

        :param entries: without gaps, and none before the snapshot.
        """
        content = b''.join(
            pack_record(msgspec.msgpack.encode(entry)) for entry in entries
        )
        saved = await self._disk.write_at(LOG_FILE, self._size, content)
        if isinstance(saved, Success):
            self._size += len(content)
            for entry in entries:
                self._put(entry)
        return saved

    async def compact(self, snapshot: Snapshot) -> _Done:
        """Replace the entries up to a snapshot by it.

        Entries behind it are kept if the log holds its last entry.

        :param snapshot: a committed state.
        """
        content = pack_record(msgspec.msgpack.encode(snapshot))
        saved = await self._disk.replace(SNAPSHOT_FILE, content)
        if isinstance(saved, Failure):
            return saved
        kept: tuple[LogEntry, ...] = ()
        if self.holds(snapshot.last):
            kept = self.entries(snapshot.last.index + 1, self.last.index)
        content = b''.join(
            pack_record(msgspec.msgpack.encode(record))
            for record in (snapshot.last, *kept)
        )
        saved = await self._disk.replace(LOG_FILE, content)
        if isinstance(saved, Success):
            self._size = len(content)
            self._reset(snapshot)
            for entry in kept:
                self._put(entry)
        return saved

    def _reset(self, snapshot: Snapshot) -> None:
        self.base = snapshot.last
        self._entries: list[LogEntry] = []
        self._memberships = [snapshot.membership]

    def _put(self, entry: LogEntry) -> None:
        del self._entries[entry.index - self.base.index - 1 :]
        while self._memberships[-1].defined_at.index >= entry.index:
            self._memberships.pop()
        self._entries.append(entry)
        if entry.members is not None:
            at = LogPosition(entry.term, entry.index)
            self._memberships.append(VoterSet(at, entry.members))

    @classmethod
    async def _load(cls, disk: Disk) -> Result[Self, DiskError]:
        vote = await _read_one(disk, VOTE_FILE, HardState)
        if isinstance(vote, Failure):
            return vote
        snapshot = await _read_one(disk, SNAPSHOT_FILE, Snapshot)
        if isinstance(snapshot, Failure):
            return snapshot
        log = cls(disk, vote.unwrap(), snapshot.unwrap())
        content = await disk.read(LOG_FILE)
        if isinstance(content, Failure):
            return content
        fault = log._replay(content.unwrap())
        return _corrupt(LOG_FILE, fault) if fault else Success(log)

    def _replay(self, content: bytes) -> str:
        records = read_records(content)
        if isinstance(records, Failure):
            return str(records.failure())
        found = records.unwrap()
        if not found.payloads:
            return 'no records'
        self._size = found.size
        try:
            base = msgspec.msgpack.decode(found.payloads[0], type=LogPosition)
            entries = [
                msgspec.msgpack.decode(payload, type=LogEntry)
                for payload in found.payloads[1:]
            ]
        except msgspec.DecodeError as exc:
            return str(exc)
        return self._take(base, entries)

    def _take(self, base: LogPosition, entries: list[LogEntry]) -> str:
        if base.index > self.base.index:
            return 'entries between the snapshot and the log are missing'
        held: list[LogEntry] = []
        for entry in entries:
            if not base.index < entry.index <= base.index + len(held) + 1:
                return f'entry {entry.index} does not follow the one before'
            del held[entry.index - base.index - 1 :]
            held.append(entry)
        skip = self.base.index - base.index
        joint = base
        if 0 < skip <= len(held):
            joint = LogPosition(held[skip - 1].term, held[skip - 1].index)
        # A crash between the two files of an installed snapshot leaves
        # entries that another leader replaced.
        if joint == self.base:
            for kept in held[skip:]:
                self._put(kept)
        return ''


async def _create(disk: Disk, incarnation: str) -> _Done:
    """Set up an empty folder; a crash before the end starts again."""
    snapshot = Snapshot(START, NO_MEMBERS, ControlState().image())
    files = (
        (CREATING_FILE, START),
        (SNAPSHOT_FILE, snapshot),
        (LOG_FILE, START),
        (VOTE_FILE, HardState(incarnation)),
    )
    for name, record in files:
        packed = pack_record(msgspec.msgpack.encode(record))
        written = await disk.replace(name, packed)
        if isinstance(written, Failure):
            return written
    return await disk.remove(CREATING_FILE)


async def _read_one(
    disk: Disk,
    name: str,
    kind: type[_Kind],
) -> Result[_Kind, DiskError]:
    content = await disk.read(name)
    if isinstance(content, Failure):
        return content
    records = read_records(content.unwrap())
    if isinstance(records, Failure):
        return _corrupt(name, records.failure())
    found = records.unwrap()
    if len(found.payloads) != 1 or found.size != len(content.unwrap()):
        return _corrupt(name, 'not exactly one record')
    try:
        return Success(msgspec.msgpack.decode(found.payloads[0], type=kind))
    except msgspec.DecodeError as exc:
        return _corrupt(name, str(exc))


def _corrupt(name: str, reason: str) -> Failure[DiskError]:
    return Failure(DiskError(DiskErrorKind.corrupt, name, reason))
