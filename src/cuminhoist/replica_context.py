"""What the parts of one control replica share."""

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
    """What a replica does at the moment."""

    leader = 'leader'
    follower = 'follower'
    candidate = 'candidate'
    learner = 'learner'


class ReplicaTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of the control log, in seconds.

    :param heartbeat_s: at 0.25 s the leader of five replicas used more than
        the budget of a node for control (1.1% of a core).
    :param lease_s: shorter than the shortest election timeout, so that a
        leader stops before the replicas that confirmed it may elect
        another one, with clocks that differ by up to 10%.
    :param compact_after_entries: entries after which the log is compacted.
    """

    heartbeat_s: float = 0.5
    election_min_s: float = 2
    election_max_s: float = 4
    lease_s: float = 1.8
    call_timeout_s: float = 1
    install_timeout_s: float = 10
    submit_timeout_s: float = 5
    join_pause_s: float = 1
    full_pause_s: float = 5
    compact_after_entries: int = 1000


class ReplicaOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How a replica behaves.

    :param on_corruption: ``stop`` to stay out and report the fault, or
        ``rejoin`` to set the files aside and join as a new incarnation.
    """

    timings: ReplicaTimings = ReplicaTimings()
    on_corruption: CorruptionPolicy = CorruptionPolicy.stop


class ReplicaContext:
    """Log, state and role of one replica.

    Everything that changes the files happens under ``lock``.

    :param name: name of the instance.
    :param declared: names of all control instances in the settings.
    """

    def __init__(
        self,
        name: str,
        declared: tuple[str, ...],
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        timings: ReplicaTimings,
    ) -> None:
        self._name = name
        self._declared = declared
        self._rng = rng
        self._timings = timings
        self.transport = transport
        self.clock = clock
        self.lock = asyncio.Lock()
        #: None if the files could not be read.
        self.files: DurableLog | None = None
        self.fault = 'not started'
        self.leader = ''
        self.leading = False
        self.campaigning = False
        #: When a leader was last heard; votes are refused for a while.
        self.heard_at = clock.now()
        #: When the wait for the next election started.
        self.waiting_since = self.heard_at
        self.confirmed_at: float | None = None
        self.commit_index = 0
        self.state = ControlState()
        self._waiting: dict[str, asyncio.Future[ChangeOutcome]] = {}
        self._listeners: list[Callable[[Configuration], None]] = []
        self._told: Configuration | None = None

    def attach(self, log: DurableLog) -> None:
        """Take the files that were read, and take part.

        :param log: the durable log.
        """
        self.files = log
        self._restore(log.loaded)
        # A restart forgets which leader was heard, so it counts as a
        # moment at which one was heard.
        self.heard_at = self.clock.now()
        self.waiting_since = self.heard_at
        self.fault = ''

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self._name

    @property
    def declared(self) -> tuple[str, ...]:
        """Names of all control instances in the settings."""
        return self._declared

    @property
    def rng(self) -> random.Random:
        """Source of random numbers."""
        return self._rng

    @property
    def timings(self) -> ReplicaTimings:
        """Durations of the control log."""
        return self._timings

    @property
    def log(self) -> DurableLog:
        """The durable log; a replica without one takes no part."""
        if self.files is None:
            raise InvariantError('the files were not read')
        return self.files

    @property
    def own(self) -> Member:
        """This replica with the identity of its disk."""
        return Member(self.name, self.log.vote.incarnation)

    @property
    def term(self) -> int:
        """Newest term that this replica has seen."""
        return self.log.vote.term

    @property
    def membership(self) -> VoterSet:
        """Newest voters, whether committed or not."""
        return self.log.membership

    @property
    def role(self) -> ReplicaRole:
        """What this replica does at the moment."""
        if self.leading:
            return ReplicaRole.leader
        if self.files is None or self.own not in self.membership.voters:
            return ReplicaRole.learner
        return (
            ReplicaRole.candidate if self.campaigning else ReplicaRole.follower
        )

    def serves(self, cluster_id: str) -> bool:
        """Tell whether this replica belongs to a cluster.

        :param cluster_id: identity of the cluster.
        """
        return not self.fault and self.log.vote.cluster_id == cluster_id

    async def promise(self, vote: HardState) -> bool:
        """Make a promise durable and step down if the term is new.

        :param vote: the new promise; the lock is held.
        """
        newer = vote.term > self.term
        if not self.check_disk(await self.log.save_vote(vote)):
            return False
        if newer:
            self.step_down('a newer term exists')
            self.leader = ''
        return True

    async def adopt_term(self, term: int) -> bool:
        """Move to a term that another replica has seen.

        :param term: the term; older ones are ignored; the lock is held.
        """
        if term <= self.term:
            return True
        vote = msgspec.structs.replace(
            self.log.vote,
            term=term,
            voted_for=None,
        )
        return await self.promise(vote)

    def check_disk(self, done: Result[None, DiskError]) -> bool:
        """Tell whether a write succeeded; stop after a lasting failure.

        :param done: outcome of the write.
        """
        if isinstance(done, Success):
            return True
        error = done.failure()
        _log.error('Cannot write: {}.', error)
        if error.kind is not DiskErrorKind.full:
            # After a failed sync the kernel may drop the data and report
            # the next sync as good, so the file is not used again.
            self.fault = str(error)
        self.step_down(str(error))
        self.waiting_since = self.clock.now() + self.timings.full_pause_s
        return False

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a task whose failure takes this replica out.

        :param work: what the task runs.
        """
        task = asyncio.create_task(work)
        task.add_done_callback(self._check_task)
        return task

    def fail(self, exc: BaseException) -> None:
        """Take no part any more after a broken invariant.

        :param exc: the fault.
        """
        _log.opt(exception=exc).error('Stops taking part.')
        self.fault = f'internal error: {exc!r}'
        self.step_down(self.fault)

    def step_down(self, reason: str) -> None:
        """Stop leading and tell those who wait.

        :param reason: why.
        """
        if self.leading:
            _log.info('Stepped down: {}.', reason)
        self.leading = False
        self.campaigning = False
        self.waiting_since = self.clock.now()
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_result(Unavailable(reason=reason))
        self._waiting.clear()

    def outcome_of(self, change: Change) -> asyncio.Future[ChangeOutcome]:
        """Return what resolves when a change is decided.

        :param change: the change.
        """
        known = self._waiting.get(change.change_id)
        if known is None:
            known = asyncio.get_running_loop().create_future()
            self._waiting[change.change_id] = known
        return known

    def commit(self, index: int) -> bool:
        """Apply entries that a majority holds.

        :param index: newest such entry.
        :returns: whether there were new ones.
        """
        if index <= self.commit_index:
            return False
        for entry in self.log.entries(self.commit_index + 1, index):
            self._apply(entry)
        self.commit_index = index
        self._tell()
        return True

    def confirm(self, moment: float) -> None:
        """Note that the committed state was the newest at a moment.

        :param moment: reading of this replica's clock.
        """
        if self.confirmed_at is None or moment > self.confirmed_at:
            self.confirmed_at = moment
        self._tell()

    def committed(self) -> Configuration | None:
        """Return the committed configuration once it was confirmed."""
        return None if self.confirmed_at is None else self.state.config

    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each newly committed configuration.

        :param listener: called in version order.
        """
        self._listeners.append(listener)
        if self._told is not None:
            listener(self._told)

    def snapshot(self) -> Snapshot:
        """Return the state after the last applied entry."""
        return Snapshot(
            self.log.position(self.commit_index),
            self.log.membership_at(self.commit_index),
            self.state.image(),
        )

    async def compact_if_long(self) -> None:
        """Replace applied entries by a snapshot if there are many.

        The lock is held.
        """
        length = self.commit_index - self.log.base.index
        if length >= self.timings.compact_after_entries:
            self.check_disk(await self.log.compact(self.snapshot()))

    async def install(self, snapshot: Snapshot) -> bool:
        """Take the state of the leader.

        :param snapshot: newer than the committed state; the lock is held.
        """
        if not self.check_disk(await self.log.compact(snapshot)):
            return False
        self._restore(snapshot)
        self._tell()
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
        waiting = self._waiting.pop(entry.change.change_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(outcome)

    def _tell(self) -> None:
        config = self.committed()
        if config is None:
            return
        told = -1 if self._told is None else self._told.version
        if config.version < told:
            raise InvariantError('the committed configuration went back')
        if config.version == told:
            return
        self._told = config
        for listener in self._listeners:
            listener(config)
