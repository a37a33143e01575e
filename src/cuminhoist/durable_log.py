"""The durable log of a replica: hard state, snapshot and entries.

The hard state and the snapshot are replaced as whole files. Entries are
appended to the log file, and a compaction replaces the log file.
"""

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
from .logging_setup import logger
from .storage import (
    TMP_SUFFIX,
    Disk,
    DiskError,
    DiskErrorKind,
    pack_record,
    read_records,
)

HARD_STATE_FILE = 'vote'
SNAPSHOT_FILE = 'snapshot'
LOG_FILE = 'log'
#: Exists while a folder is being set up. No vote was granted before that, so
#: the set-up can start over after a crash.
CREATING_FILE = 'creating'
REQUIRED_FILES = frozenset((HARD_STATE_FILE, SNAPSHOT_FILE, LOG_FILE))

LOG_START = LogPosition(0, 0)
NO_VOTERS = VoterSet(LOG_START, ())

_log = logger('log')
_Record = TypeVar('_Record')
_WriteResult = Result[None, DiskError]


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a replica with its term and vote.

    :param incarnation: changes with each new set-up of the folder.
    :param cluster_id: empty before the replica belongs to a cluster.
    :param term: newest term that the replica knows.
    :param voted_for: candidate that got the vote of this term.
    """

    incarnation: str
    cluster_id: str = ''
    term: int = 0
    voted_for: Member | None = None


class DurableLog:
    """Snapshot and the entries after it, synced before they are visible.

    :param disk: holds the files.
    :param hard_state: content of the vote file.
    :param snapshot: content of the snapshot file.
    """

    def __init__(
        self, disk: Disk, hard_state: HardState, snapshot: Snapshot
    ) -> None:
        self._disk = disk
        self.hard_state = hard_state
        self.loaded_snapshot = snapshot
        self._reset(snapshot)
        self._size = 0
        self._is_stale = False

    @classmethod
    async def open(
        cls,
        disk: Disk,
        incarnation: str,
    ) -> Result[Self, DiskError]:
        """Read the files, or set up an empty folder.

        :param disk: holds the files.
        :param incarnation: incarnation to store in an empty folder.
        """
        file_names = await disk.file_names()
        if isinstance(file_names, Failure):
            return file_names
        existing = {
            name
            for name in file_names.unwrap()
            if not name.endswith(TMP_SUFFIX)
        }
        if not existing or CREATING_FILE in existing:
            created = await _create(disk, incarnation)
            if isinstance(created, Failure):
                return created
        elif not existing >= REQUIRED_FILES:
            missing = ', '.join(sorted(REQUIRED_FILES - existing))
            return _corrupt(missing, 'missing although other files exist')
        return await cls._load(disk)

    @property
    def last(self) -> LogPosition:
        """Position of the last entry."""
        return self.position(self.base.index + len(self._entries))

    def position(self, index: int) -> LogPosition:
        """Return the position of an entry in the log.

        :param index: index of the snapshot or of an entry after it.
        """
        if index == self.base.index:
            return self.base
        entry = self._entries[index - self.base.index - 1]
        return LogPosition(entry.term, entry.index)

    def contains(self, position: LogPosition) -> bool:
        """Tell whether an entry is in the log.

        :param position: index and term of the entry.
        """
        if not self.base.index <= position.index <= self.last.index:
            return False
        return self.position(position.index) == position

    def entries(self, start: int, end: int) -> tuple[LogEntry, ...]:
        """Return entries by index.

        :param start: first index; must lie after the snapshot.
        :param end: last index, inclusive.
        """
        offset = start - self.base.index - 1
        return tuple(self._entries[offset : end - self.base.index])

    @property
    def membership(self) -> VoterSet:
        """Newest voter set in the log, committed or not."""
        return self._memberships[-1]

    def membership_at(self, index: int) -> VoterSet:
        """Return the voter set that applied as of an entry.

        :param index: index of the snapshot or of an entry after it.
        """
        return next(
            voter_set
            for voter_set in reversed(self._memberships)
            if voter_set.defined_at.index <= index
        )

    async def save_hard_state(self, hard_state: HardState) -> _WriteResult:
        """Write the hard state to disk.

        :param hard_state: new content of the vote file.
        """
        content = pack_record(msgspec.msgpack.encode(hard_state))
        saved = await self._disk.replace(HARD_STATE_FILE, content)
        if isinstance(saved, Success):
            self.hard_state = hard_state
        return saved

    async def append(self, entries: tuple[LogEntry, ...]) -> _WriteResult:
        """Append entries; existing ones from the first index on are replaced.

        :param entries: entries without gaps, all after the snapshot.
        """
        content = b''.join(
            pack_record(msgspec.msgpack.encode(entry)) for entry in entries
        )
        saved = await self._disk.write_at(LOG_FILE, self._size, content)
        if isinstance(saved, Success):
            self._size += len(content)
            for entry in entries:
                self._insert(entry)
        return saved

    async def compact(self, snapshot: Snapshot) -> _WriteResult:
        """Replace the entries up to a snapshot by the snapshot.

        Later entries are kept if the log contains the last entry of the
        snapshot.

        :param snapshot: a committed state.
        """
        content = pack_record(msgspec.msgpack.encode(snapshot))
        saved = await self._disk.replace(SNAPSHOT_FILE, content)
        if isinstance(saved, Failure):
            return saved
        kept: tuple[LogEntry, ...] = ()
        if self.contains(snapshot.last):
            kept = self.entries(snapshot.last.index + 1, self.last.index)
        saved = await self._replace_log_file(snapshot.last, kept)
        if isinstance(saved, Success):
            self._reset(snapshot)
            for entry in kept:
                self._insert(entry)
        return saved

    async def rewrite(self) -> _WriteResult:
        """Write what is known to be durable to new files.

        The snapshot is left out: a failed write never changes its file in
        place, and the log goes with the present one and with a newer one.
        """
        saved = await self.save_hard_state(self.hard_state)
        if isinstance(saved, Failure):
            return saved
        entries = self.entries(self.base.index + 1, self.last.index)
        return await self._replace_log_file(self.base, entries)

    async def _replace_log_file(
        self, base: LogPosition, kept: tuple[LogEntry, ...]
    ) -> _WriteResult:
        content = b''.join(
            pack_record(msgspec.msgpack.encode(record))
            for record in (base, *kept)
        )
        saved = await self._disk.replace(LOG_FILE, content)
        if isinstance(saved, Success):
            self._size = len(content)
        return saved

    def _reset(self, snapshot: Snapshot) -> None:
        self.base = snapshot.last
        self._entries: list[LogEntry] = []
        self._memberships = [snapshot.membership]

    def _insert(self, entry: LogEntry) -> None:
        del self._entries[entry.index - self.base.index - 1 :]
        while self._memberships[-1].defined_at.index >= entry.index:
            self._memberships.pop()
        self._entries.append(entry)
        if entry.members is not None:
            defined_at = LogPosition(entry.term, entry.index)
            self._memberships.append(VoterSet(defined_at, entry.members))

    @classmethod
    async def _load(cls, disk: Disk) -> Result[Self, DiskError]:
        hard_state = await _read_record(disk, HARD_STATE_FILE, HardState)
        if isinstance(hard_state, Failure):
            return hard_state
        snapshot = await _read_record(disk, SNAPSHOT_FILE, Snapshot)
        if isinstance(snapshot, Failure):
            return snapshot
        log = cls(disk, hard_state.unwrap(), snapshot.unwrap())
        content = await disk.read(LOG_FILE)
        if isinstance(content, Failure):
            return content
        error = log._replay(content.unwrap())
        if error:
            return _corrupt(LOG_FILE, error)
        torn_bytes = len(content.unwrap()) - log._size
        if torn_bytes:
            _log.bind(torn_bytes=torn_bytes, last_index=log.last.index).warning(
                'ignored an incomplete last record'
            )
        if log._is_stale:
            # Entries appended later would follow the stale ones in the file,
            # and the next start would drop them together.
            _log.bind(base_index=log.base.index).warning(
                'replaced a log that does not continue the installed snapshot'
            )
            repaired = await log._replace_log_file(log.base, ())
            if isinstance(repaired, Failure):
                return repaired
        return Success(log)

    def _replay(self, content: bytes) -> str:
        parsed = read_records(content)
        if isinstance(parsed, Failure):
            return str(parsed.failure())
        records = parsed.unwrap()
        if not records.payloads:
            return 'the file has no records'
        self._size = records.size
        try:
            base = msgspec.msgpack.decode(records.payloads[0], type=LogPosition)
            entries = [
                msgspec.msgpack.decode(payload, type=LogEntry)
                for payload in records.payloads[1:]
            ]
        except msgspec.DecodeError as exc:
            return str(exc)
        return self._load_entries(base, entries)

    def _load_entries(self, base: LogPosition, entries: list[LogEntry]) -> str:
        if base.index > self.base.index:
            return 'entries between the snapshot and the log are missing'
        loaded: list[LogEntry] = []
        for entry in entries:
            if not base.index < entry.index <= base.index + len(loaded) + 1:
                return f'entry {entry.index} does not follow the previous entry'
            del loaded[entry.index - base.index - 1 :]
            loaded.append(entry)
        compacted_count = self.base.index - base.index
        boundary = base
        if 0 < compacted_count <= len(loaded):
            boundary = LogPosition(
                loaded[compacted_count - 1].term,
                loaded[compacted_count - 1].index,
            )
        # A crash between writing the snapshot and the log of an installed
        # snapshot can leave entries that another leader has replaced. They
        # are kept only if the log contains the last entry of the snapshot.
        if boundary == self.base:
            for kept in loaded[compacted_count:]:
                self._insert(kept)
        else:
            self._is_stale = True
        return ''


async def _create(disk: Disk, incarnation: str) -> _WriteResult:
    """Set up an empty folder; after a crash the set-up starts over."""
    snapshot = Snapshot(LOG_START, NO_VOTERS, ControlState().image())
    files = (
        (CREATING_FILE, LOG_START),
        (SNAPSHOT_FILE, snapshot),
        (LOG_FILE, LOG_START),
        (HARD_STATE_FILE, HardState(incarnation)),
    )
    for name, record in files:
        packed = pack_record(msgspec.msgpack.encode(record))
        written = await disk.replace(name, packed)
        if isinstance(written, Failure):
            return written
    return await disk.remove(CREATING_FILE)


async def _read_record(
    disk: Disk,
    name: str,
    record_type: type[_Record],
) -> Result[_Record, DiskError]:
    content = await disk.read(name)
    if isinstance(content, Failure):
        return content
    parsed = read_records(content.unwrap())
    if isinstance(parsed, Failure):
        return _corrupt(name, parsed.failure())
    records = parsed.unwrap()
    if len(records.payloads) != 1 or records.size != len(content.unwrap()):
        return _corrupt(name, 'the file must have exactly one record')
    try:
        return Success(
            msgspec.msgpack.decode(records.payloads[0], type=record_type)
        )
    except msgspec.DecodeError as exc:
        return _corrupt(name, str(exc))


def _corrupt(name: str, reason: str) -> Failure[DiskError]:
    return Failure(DiskError(DiskErrorKind.corrupt, name, reason))
