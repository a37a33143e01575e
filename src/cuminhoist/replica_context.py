"""State that the components of a control replica share.

Leader, follower and election work on one durable log, one term and one
commit index. A lock orders all changes of the files.
"""

import asyncio
import enum
import random
from collections.abc import Callable, Coroutine

import msgspec
from returns.result import Result, Success

from .clock import Clock
from .config_model import Change, ChangeOutcome, Configuration, Unavailable
from .consensus_messages import LogEntry, Member, Snapshot, VoterSet
from .control_state import ControlState
from .durable_log import DurableLog, HardState
from .exceptions import InvariantError
from .logging_setup import logger
from .settings import CorruptionPolicy
from .storage import DiskError, DiskErrorKind
from .transport import Transport

_log = logger('control')


class ReplicaRole(enum.StrEnum):
    """Current role of a replica; a learner has no vote."""

    leader = 'leader'
    follower = 'follower'
    candidate = 'candidate'
    learner = 'learner'


class ReplicaTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of the control log, in seconds.

    :param heartbeat_s: interval of the leader's heartbeats. At 0.25 s the
        leader of five replicas used 1.1% of a core, more than the budget of
        an instance for control.
    :param lease_s: how long a quorum confirmation lets the leader accept
        changes. It is shorter than the shortest election timeout, so that
        a leader stops before its voters may elect another one, even if
        their clocks differ by up to 10%.
    :param join_interval_s: pause between join requests of a learner.
    :param disk_full_pause_s: delay of the next election after a failed
        write, so that a replica with a full disk does not lead again soon,
        and interval of the tries to use a failed disk again.
    :param compact_after_entries: entries after which the log is compacted.
    """

    heartbeat_s: float = 0.5
    election_min_s: float = 2
    election_max_s: float = 4
    lease_s: float = 1.8
    call_timeout_s: float = 1
    install_timeout_s: float = 10
    submit_timeout_s: float = 5
    join_interval_s: float = 1
    disk_full_pause_s: float = 5
    compact_after_entries: int = 1000


class ReplicaOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a replica.

    :param on_corruption: ``stop`` reports the fault and leaves the replica
        inactive; ``rejoin`` moves the damaged files to a subfolder and joins
        as a new incarnation.
    """

    timings: ReplicaTimings = ReplicaTimings()
    on_corruption: CorruptionPolicy = CorruptionPolicy.stop


class ReplicaContext:
    """Durable log, applied state and role of a replica.

    Every change of the files happens with ``lock`` held.

    :param name: name of the instance.
    :param control_names: names of all control instances in the settings.
    """

    def __init__(
        self,
        name: str,
        control_names: tuple[str, ...],
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        timings: ReplicaTimings,
    ) -> None:
        self._name = name
        self._control_names = control_names
        self._rng = rng
        self._timings = timings
        self.transport = transport
        self.clock = clock
        self.lock = asyncio.Lock()
        #: None until the files were read.
        self.durable_log: DurableLog | None = None
        self.fault = 'not started'
        #: Whether the fault is a failed write, which may succeed later.
        self.write_failed = False
        self.leader = ''
        self.leading = False
        self.campaigning = False
        #: Time of the last request from a leader. Votes are refused for the
        #: shortest election timeout after it.
        self.leader_contact_at = clock.now()
        #: Start of the current election timeout; may lie in the future.
        self.election_timer_start = self.leader_contact_at
        self.confirmed_at: float | None = None
        self.commit_index = 0
        self.state = ControlState()
        self._pending_outcomes: dict[str, asyncio.Future[ChangeOutcome]] = {}
        self._listeners: list[Callable[[Configuration], None]] = []
        self._last_notified: Configuration | None = None

    def attach(self, log: DurableLog) -> None:
        """Set the durable log and make the replica active.

        :param log: the durable log that was read from disk.
        """
        self.durable_log = log
        self._restore(log.loaded_snapshot)
        # A restart forgets when a leader last sent a request. It may have
        # been just before the restart, so the time of the start is used.
        self.leader_contact_at = self.clock.now()
        self.election_timer_start = self.leader_contact_at
        self.fault = ''

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self._name

    @property
    def control_names(self) -> tuple[str, ...]:
        """Names of all control instances in the settings."""
        return self._control_names

    @property
    def rng(self) -> random.Random:
        """Source of random numbers."""
        return self._rng

    @property
    def timings(self) -> ReplicaTimings:
        """Durations of the control log, in seconds."""
        return self._timings

    @property
    def log(self) -> DurableLog:
        """The durable log, which only an active replica has."""
        if self.durable_log is None:
            raise InvariantError('the durable log was not opened')
        return self.durable_log

    @property
    def own_member(self) -> Member:
        """This replica with the incarnation of its files."""
        return Member(self.name, self.log.hard_state.incarnation)

    @property
    def term(self) -> int:
        """Newest term that this replica knows."""
        return self.log.hard_state.term

    @property
    def membership(self) -> VoterSet:
        """Newest voter set in the log, committed or not."""
        return self.log.membership

    @property
    def role(self) -> ReplicaRole:
        """Current role of this replica."""
        if self.leading:
            return ReplicaRole.leader
        if (
            self.durable_log is None
            or self.own_member not in self.membership.voters
        ):
            return ReplicaRole.learner
        return (
            ReplicaRole.candidate if self.campaigning else ReplicaRole.follower
        )

    def belongs_to(self, cluster_id: str) -> bool:
        """Tell whether this replica is active and belongs to a cluster.

        :param cluster_id: identity of the cluster.
        """
        return not self.fault and self.log.hard_state.cluster_id == cluster_id

    async def persist_hard_state(self, hard_state: HardState) -> bool:
        """Write the hard state to disk and step down if its term is newer.

        The caller holds the lock.

        :param hard_state: term, vote and cluster to store.
        :returns: whether it was written.
        """
        newer = hard_state.term > self.term
        if not self.check_write(await self.log.save_hard_state(hard_state)):
            return False
        if newer:
            self.step_down('another replica has a newer term')
            self.leader = ''
        return True

    async def advance_term(self, term: int) -> bool:
        """Enter a newer term of another replica.

        The caller holds the lock.

        :param term: the term; the current one and older ones are ignored.
        :returns: False if a newer term could not be written to disk.
        """
        if term <= self.term:
            return True
        hard_state = msgspec.structs.replace(
            self.log.hard_state,
            term=term,
            voted_for=None,
        )
        return await self.persist_hard_state(hard_state)

    def check_write(self, result: Result[None, DiskError]) -> bool:
        """Tell whether a write succeeded; step down if it failed.

        A failure other than a full disk makes the replica inactive until
        :meth:`repair` succeeds.

        :param result: result of the write.
        """
        if isinstance(result, Success):
            return True
        error = result.failure()
        _log.error('Cannot write to disk: {}.', error)
        if error.kind is not DiskErrorKind.full:
            # After a failed fsync the kernel may drop the data and report
            # the next fsync as successful, so the file is not used again.
            self.fault = str(error)
            self.write_failed = True
        self.step_down(str(error))
        self.election_timer_start = (
            self.clock.now() + self.timings.disk_full_pause_s
        )
        return False

    async def repair(self) -> None:
        """Write new files after a failed write, and take part again.

        The caller holds the lock.
        """
        rewritten = await self.log.rewrite()
        if isinstance(rewritten, Success):
            _log.info('The disk takes writes again after: {}.', self.fault)
            self.fault = ''
            self.write_failed = False
            self.leader_contact_at = self.clock.now()
            self.election_timer_start = self.leader_contact_at
        else:
            _log.error('Cannot write to disk: {}.', rewritten.failure())

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Start a task whose failure makes this replica inactive.

        :param work: the coroutine to run.
        """
        task = asyncio.create_task(work)
        task.add_done_callback(self._check_task)
        return task

    def fail(self, exc: BaseException) -> None:
        """Make this replica inactive after an internal error.

        :param exc: the error.
        """
        _log.opt(exception=exc).error(
            'Control replica stopped after an internal error.'
        )
        self.fault = f'internal error: {exc!r}'
        self.write_failed = False
        self.step_down(self.fault)

    def step_down(self, reason: str) -> None:
        """Stop leading and end pending changes as unavailable.

        :param reason: why, for the log and for those who submitted.
        """
        if self.leading:
            _log.info('Stepped down: {}.', reason)
        self.leading = False
        self.campaigning = False
        self.election_timer_start = self.clock.now()
        for pending in self._pending_outcomes.values():
            if not pending.done():
                pending.set_result(Unavailable(reason=reason))
        self._pending_outcomes.clear()

    def outcome_future(self, change: Change) -> asyncio.Future[ChangeOutcome]:
        """Return a future that gets the outcome of a change.

        :param change: the change.
        """
        pending = self._pending_outcomes.get(change.change_id)
        if pending is None:
            pending = asyncio.get_running_loop().create_future()
            self._pending_outcomes[change.change_id] = pending
        return pending

    def commit(self, index: int) -> bool:
        """Apply the entries that are committed up to an index.

        :param index: newest committed entry.
        :returns: whether entries were applied.
        """
        if index <= self.commit_index:
            return False
        for entry in self.log.entries(self.commit_index + 1, index):
            self._apply(entry)
        self.commit_index = index
        self._notify_listeners()
        return True

    def confirm(self, moment: float) -> None:
        """Record a time at which the committed state was the newest.

        :param moment: the time, on the clock of this replica.
        """
        if self.confirmed_at is None or moment > self.confirmed_at:
            self.confirmed_at = moment
        self._notify_listeners()

    def committed_config(self) -> Configuration | None:
        """Return the committed configuration, or None if unconfirmed."""
        return None if self.confirmed_at is None else self.state.config

    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each newly committed configuration.

        :param listener: called with the configurations in version order.
        """
        self._listeners.append(listener)
        if self._last_notified is not None:
            listener(self._last_notified)

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the state after the last applied entry."""
        return Snapshot(
            self.log.position(self.commit_index),
            self.log.membership_at(self.commit_index),
            self.state.image(),
        )

    async def compact_if_long(self) -> None:
        """Compact the log if it has reached its limit of applied entries.

        The caller holds the lock.
        """
        length = self.commit_index - self.log.base.index
        if length >= self.timings.compact_after_entries:
            self.check_write(await self.log.compact(self.snapshot()))

    async def install(self, snapshot: Snapshot) -> bool:
        """Replace the log and the state by a snapshot of the leader.

        The caller holds the lock.

        :param snapshot: newer than the committed state.
        :returns: whether it was written.
        """
        if not self.check_write(await self.log.compact(snapshot)):
            return False
        self._restore(snapshot)
        self._notify_listeners()
        return True

    def _check_task(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.fail(task.exception() or InvariantError())

    def _restore(self, snapshot: Snapshot) -> None:
        self.state = ControlState.from_image(snapshot.state)
        self.commit_index = snapshot.last.index

    def _apply(self, entry: LogEntry) -> None:
        if entry.change is None:
            return
        outcome = self.state.apply(entry.change)
        pending = self._pending_outcomes.pop(entry.change.change_id, None)
        if pending is not None and not pending.done():
            pending.set_result(outcome)

    def _notify_listeners(self) -> None:
        config = self.committed_config()
        if config is None:
            return
        version = (
            -1 if self._last_notified is None else self._last_notified.version
        )
        if config.version < version:
            raise InvariantError(
                'the committed configuration has an older version'
            )
        if config.version == version:
            return
        self._last_notified = config
        for listener in self._listeners:
            listener(config)
