"""What a voter of the register promises and holds."""

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
from .messages import Accept, Ballot, Inquire, Prepare, VoterReply
from .store import (
    AlternatingFile,
    DiskExecutor,
    ThreadDiskExecutor,
    prepare_folder,
)

#: Length of the random part of a voter's name.
NAME_BITS = 32

_log = logger('register')


class Identity(msgspec.Struct, frozen=True):
    """Who an acceptor is; written before it answers anything.

    :param voter: its name as a voter.
    :param founders: the state of the new deployment, if it took part in it.
    """

    voter: str
    founders: DeclaredState | None = None


class AcceptedState(msgspec.Struct, frozen=True):
    """The state that an acceptor holds.

    :param ballot: when it was accepted.
    :param state: the state; none before the first.
    """

    ballot: Ballot = Ballot()
    state: DeclaredState | None = None


class AcceptorFiles:
    """Durable files of one acceptor.

    :param folder: where they are.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.identity = AlternatingFile(folder, 'identity', Identity)
        self.promised = AlternatingFile(folder, 'promised', Ballot)
        self.held = AlternatingFile(folder, 'held', AcceptedState)
        self.learned = AlternatingFile(folder, 'learned', DeclaredState)

    def load_or_create_identity(
        self,
        host: str,
        founders: DeclaredState | None,
        rng: random.Random,
    ) -> Identity:
        """Return who the acceptor is; a new disk gets a new identity.

        A founder keeps the name that the other founders know it by. An
        acceptor whose disk is empty later may have promised something that
        it no longer knows, so it takes a new name and has no vote until the
        others give it one.

        :param host: host of the instance.
        :param founders: state of a new deployment; none if it is not new.
        :param rng: source of new names.
        """
        prepare_folder(self.folder)
        identity = self.identity.load()
        if identity is not None:
            return identity
        name = host
        if founders is None or self.held.exists():
            name = f'{host}#{rng.getrandbits(NAME_BITS):08x}'
            founders = None
        identity = Identity(name, founders)
        self.identity.save(identity)
        prepare_folder(self.folder)
        return identity


class Acceptor:
    """Answers proposers; a promise is durable before it is given.

    :param name: its name as a voter.
    :param files: its files.
    :param promised: highest ballot that it may follow.
    :param held: the state that it holds.
    :param disk: runs its writes.
    """

    def __init__(
        self,
        name: str,
        files: AcceptorFiles,
        promised: Ballot,
        held: AcceptedState,
        disk: DiskExecutor,
    ) -> None:
        self.name = name
        self.held = held
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
        """Build an acceptor from what its disk holds.

        :param name: its name as a voter.
        :param files: its files.
        :param disk: runs its writes; a thread by default.
        """
        held = files.held.load() or AcceptedState()
        promised = files.promised.load() or Ballot()
        return cls(
            name,
            files,
            max(promised, held.ballot),
            held,
            disk or ThreadDiskExecutor(),
        )

    async def handle_request(self, msg: Message) -> VoterReply | None:
        """Return the answer to a request of a proposer.

        :param msg: the request.
        """
        if isinstance(msg, (Prepare, Accept, Inquire)):
            if msg.voter != self.name:
                return None
        if isinstance(msg, Prepare):
            return await self._prepare(msg)
        if isinstance(msg, Accept):
            return await self._accept(msg)
        if isinstance(msg, Inquire):
            return self._verdict(granted=True, with_state=True)
        return None

    async def remember(self, state: DeclaredState) -> None:
        """Write down a state that a quorum holds, for the next start.

        :param state: the state.
        """
        async with self._lock:
            await self._disk.run(self._files.learned.save, state)

    async def _prepare(self, msg: Prepare) -> VoterReply | None:
        async with self._lock:
            if msg.ballot <= self._promised:
                return self._verdict(granted=False)
            saved: Result[None, DiskError] = await self._disk.run(
                self._files.promised.save,
                msg.ballot,
            )
            if not isinstance(saved, Success):
                return None
            self._promised = msg.ballot
            return self._verdict(granted=True, with_state=True)

    async def _accept(self, msg: Accept) -> VoterReply | None:
        async with self._lock:
            if msg.ballot < self._promised:
                return self._verdict(granted=False)
            held = AcceptedState(msg.ballot, msg.state)
            saved: Result[None, DiskError] = await self._disk.run(
                self._files.held.save,
                held,
            )
            if not isinstance(saved, Success):
                return None
            self._promised = msg.ballot
            self.held = held
            return self._verdict(granted=True)

    def _verdict(
        self, *, granted: bool, with_state: bool = False
    ) -> VoterReply:
        return VoterReply(
            voter=self.name,
            granted=granted,
            promised=self._promised,
            accepted=self.held.ballot,
            state=self.held.state if with_state else None,
        )
