"""Acceptor of the register: promises ballots and stores accepted states.

An acceptor writes a promise or an accepted state to its disk before it
replies. A voter that restarted after a crash without its promises could
otherwise help to choose two different states.
"""

import asyncio
import pathlib
import random
from typing import Self

import msgspec
from returns.result import Result, Success

from ..codec import Message
from ..logging_setup import logger
from ..storage import DiskError
from .declared_state import DeclaredState
from .messages import (
    Accept,
    AcceptedState,
    Ballot,
    Inquire,
    Prepare,
    VoterReply,
)
from .store import (
    AlternatingFile,
    DiskExecutor,
    ThreadDiskExecutor,
    prepare_folder,
)

#: Length of the random suffix of a voter's name, in bits.
NAME_SUFFIX_BITS = 32

_log = logger('register')


class Identity(msgspec.Struct, frozen=True):
    """Identity of an acceptor, stored before it replies to any request.

    :param voter: its name as a voter.
    :param founders: the initial state of the deployment, if this instance took
        part in its first start.
    """

    voter: str
    founders: DeclaredState | None = None


class AcceptorFiles:
    """Durable files of one acceptor.

    :param folder: the directory of the files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.identity = AlternatingFile(folder, 'identity', Identity)
        self.promised = AlternatingFile(folder, 'promised', Ballot)
        self.accepted = AlternatingFile(folder, 'held', AcceptedState)
        self.learned = AlternatingFile(folder, 'learned', DeclaredState)

    def load_or_create_identity(
        self,
        host: str,
        founders: DeclaredState | None,
        rng: random.Random,
    ) -> Identity:
        """Load the identity from the disk; create one if the disk has none.

        At the first start of a deployment an instance is named after its
        host, as the initial state names the founders. An instance that finds
        its disk empty later may have lost promises that it made before. It
        therefore takes a new name, which has no vote until the voters add it.
        The same applies if files of promises cannot be read any more.

        :param host: host of the instance.
        :param founders: initial state at the first start of a deployment;
            none at later starts.
        :param rng: source of the random suffix of new names.
        """
        if prepare_folder(self.folder):
            for durable in (self.identity, self.promised, self.accepted):
                durable.trust_names()
            self.learned.trust_names()
        damaged = self._damaged_files()
        identity = self.identity.load()
        if identity is not None and not damaged:
            return identity
        if damaged:
            _log.bind(files=damaged).error(
                'durable files are unreadable; joining as a new voter'
            )
        name = host
        if founders is None or damaged or self.accepted.exists():
            name = f'{host}#{rng.getrandbits(NAME_SUFFIX_BITS):08x}'
            founders = None
        identity = Identity(name, founders)
        self.identity.save(identity)
        # The new identity is durable, so the next start may keep it.
        if 'promised' in damaged:
            self.promised.save(Ballot())
        if 'held' in damaged:
            self.accepted.save(AcceptedState())
        return identity

    def _damaged_files(self) -> list[str]:
        damaged_by_name = {
            'identity': self.identity.is_damaged(),
            'promised': self.promised.is_damaged(),
            'held': self.accepted.is_damaged(),
        }
        return [name for name, damaged in damaged_by_name.items() if damaged]


class Acceptor:
    """Replies to proposers; each promise is durable before the reply.

    :param name: its name as a voter.
    :param files: its files.
    :param promised: highest ballot that it has promised; it refuses lower
        ones.
    :param accepted: the state that it accepted last.
    :param disk: runs its writes.
    """

    def __init__(
        self,
        name: str,
        files: AcceptorFiles,
        promised: Ballot,
        accepted: AcceptedState,
        disk: DiskExecutor,
    ) -> None:
        self.name = name
        self.accepted = accepted
        self._files = files
        self._promised = promised
        self._disk = disk
        self._lock = asyncio.Lock()

    @classmethod
    def from_files(
        cls,
        name: str,
        files: AcceptorFiles,
        disk: DiskExecutor | None = None,
    ) -> Self:
        """Build an acceptor from its files.

        :param name: its name as a voter.
        :param files: its files.
        :param disk: runs its writes; by default in a thread.
        """
        accepted = files.accepted.load() or AcceptedState()
        promised = files.promised.load() or Ballot()
        return cls(
            name,
            files,
            max(promised, accepted.ballot),
            accepted,
            disk or ThreadDiskExecutor(),
        )

    async def handle_request(self, msg: Message) -> VoterReply | None:
        """Return the reply; none if the request is for another voter.

        There is no reply either if the write to disk fails.

        :param msg: the request of a proposer.
        """
        if isinstance(msg, (Prepare, Accept, Inquire)):
            if msg.voter != self.name:
                return None
        if isinstance(msg, Prepare):
            return await self._prepare(msg)
        if isinstance(msg, Accept):
            return await self._accept(msg)
        if isinstance(msg, Inquire):
            return self._reply_with_state(msg.known)
        return None

    async def save_learned(self, state: DeclaredState) -> bool:
        """Store a chosen state and tell whether it is durable.

        The next start reads it.

        :param state: the chosen state.
        """
        async with self._lock:
            saved: Result[None, DiskError] = await self._disk.run(
                self._files.learned.save,
                state,
            )
            return isinstance(saved, Success)

    async def _prepare(self, msg: Prepare) -> VoterReply | None:
        async with self._lock:
            if msg.ballot <= self._promised:
                return self._reply(granted=False)
            saved: Result[None, DiskError] = await self._disk.run(
                self._files.promised.save,
                msg.ballot,
            )
            if not isinstance(saved, Success):
                return None
            self._promised = msg.ballot
            return self._reply_with_state(msg.known)

    async def _accept(self, msg: Accept) -> VoterReply | None:
        async with self._lock:
            if msg.ballot < self._promised:
                return self._reply(granted=False)
            accepted = AcceptedState(msg.ballot, msg.state)
            saved: Result[None, DiskError] = await self._disk.run(
                self._files.accepted.save,
                accepted,
            )
            if not isinstance(saved, Success):
                return None
            self._promised = msg.ballot
            self.accepted = accepted
            return self._reply(granted=True)

    def _reply_with_state(self, known: Ballot) -> VoterReply:
        reply = self._reply(granted=True)
        if self.accepted.ballot == known:
            return reply
        return msgspec.structs.replace(reply, state=self.accepted.state)

    def _reply(self, *, granted: bool) -> VoterReply:
        return VoterReply(
            voter=self.name,
            granted=granted,
            promised=self._promised,
            accepted=self.accepted.ballot,
        )
