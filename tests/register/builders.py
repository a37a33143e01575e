"""A register of several instances over an emulated network."""

import asyncio
import pathlib
import random
import shutil
from typing import Any

from returns.result import Failure, Result, Success

from cuminhoist.codec import Codec, Message
from cuminhoist.fleet.instance_config import Address
from cuminhoist.register.acceptor import Acceptor, AcceptorFiles
from cuminhoist.register.declared_state import (
    DeclaredState,
    ReplaceConfiguration,
)
from cuminhoist.register.messages import Join, Learned
from cuminhoist.register.replica import ControlPeers, RegisterReplica
from cuminhoist.register.store import DiskExecutor
from cuminhoist.storage import DiskError, DiskErrorKind

PORT = 7000


class InlineDisk(DiskExecutor):
    """A disk whose operations take no time, or fail."""

    def __init__(self) -> None:
        self.refuses = False

    async def run(self, operation: Any, *args: Any) -> Result[Any, DiskError]:
        await asyncio.sleep(0)
        if self.refuses:
            return Failure(DiskError(DiskErrorKind.full, '', 'full'))
        return Success(operation(*args))


class Machine(ControlPeers):
    """One control instance; its disk outlives its process."""

    def __init__(self, world: 'RegisterWorld', host: str) -> None:
        self.world = world
        self.host = host
        self.address = Address(host, PORT)
        self.folder = world.folder / host
        self.disk = InlineDisk()
        self.wiped = False
        self.replica: RegisterReplica | None = None
        #: States that each process of the machine has learned, in order.
        self.lives: list[list[DeclaredState]] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *, first: bool) -> None:
        """Start the process on whatever the disk holds."""
        self.lives.append([])
        files = AcceptorFiles(self.folder)
        founders = (
            DeclaredState.from_founders(self.world.founders) if first else None
        )
        identity = files.load_or_create_identity(
            self.host, founders, self.world.rng
        )
        self.replica = RegisterReplica(
            Acceptor.from_files(identity.voter, files, self.disk),
            files.learned.load() or identity.founders,
            self.address,
            self,
            self._learned,
            random.Random(self.world.rng.getrandbits(32)),
        )
        self._tasks = [
            asyncio.create_task(self.replica.run_proposals()),
            asyncio.create_task(self.replica.run_membership()),
        ]
        self.world.introduce(self)

    async def kill(self) -> None:
        """End the process; the disk stays."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.replica = None

    async def wipe(self) -> None:
        """End the process and empty its disk."""
        await self.kill()
        self.wiped = True
        shutil.rmtree(self.folder)

    async def call(
        self,
        address: Address,
        msg: Message,
        timeout_s: float,
    ) -> Message | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await self.world.carry(self, address, msg)
        except TimeoutError:
            return None

    def broadcast(self, msg: Message) -> None:
        for other in self.world.machines.values():
            if other is not self:
                self.world.post(self, other, msg)

    def reachable_voters(self, own: str) -> set[str]:
        return {
            other.replica.name
            for other in self.world.reachable(self)
            if other.replica is not None
        }

    def is_active_proposer(self, voter: str) -> bool:
        return any(
            other.replica is not None
            and other.replica.name == voter
            and other.replica.reaches_quorum(other.reachable_voters(voter))
            for other in self.world.reachable(self)
        )

    def voter_silence_s(self, voter: str) -> float:
        return 0 if voter in self.reachable_voters('') else float('inf')

    def _learned(self, state: DeclaredState) -> None:
        self.lives[-1].append(state)


class RegisterWorld:
    """Machines, and the network between them.

    :param folder: where their disks are.
    :param count: how many machines there are; the first three are founders.
    :param seed: seed of delays and losses.
    """

    def __init__(self, folder: pathlib.Path, count: int, seed: int) -> None:
        self.folder = folder
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.cut: set[frozenset[str]] = set()
        self.machines = {
            host: Machine(self, host)
            for host in (f'10.{number}.0.1' for number in range(1, count + 1))
        }
        self.founders = tuple(
            machine.address for machine in list(self.machines.values())[:3]
        )
        self._posted: set[asyncio.Task[None]] = set()

    @property
    def hosts(self) -> list[str]:
        """Hosts of all machines."""
        return list(self.machines)

    async def form(self) -> None:
        """Start all machines and wait until all have a vote."""
        for machine in self.machines.values():
            machine.start(first=True)
        await self.settle()

    async def settle(self) -> None:
        """Wait until everything that runs has a vote."""
        for _ in range(400):
            await asyncio.sleep(0.1)
            if all(
                machine.replica is None or machine.replica.is_voter
                for machine in self.machines.values()
            ):
                return

    def lost_disks(self) -> set[str]:
        """Return the machines whose disk was emptied and that have no vote.

        Replicas that do not know the newest voters do not count as evidence.
        """
        states = [
            machine.replica.latest_chosen
            for machine in self.machines.values()
            if machine.replica is not None and machine.replica.latest_chosen
        ]
        newest = max(states, key=lambda state: state.index)
        voting = {voter.name for voter in newest.voters}
        return {
            machine.host
            for machine in self.machines.values()
            if machine.wiped
            and (machine.replica is None or machine.replica.name not in voting)
        }

    def introduce(self, machine: Machine) -> None:
        """Tell a started machine what the others have learned."""
        for other in self.reachable(machine):
            if (
                other.replica is not None
                and other.replica.latest_chosen is not None
            ):
                self.post(
                    other, machine, Learned(state=other.replica.latest_chosen)
                )

    def separate(self, one: str, other: str) -> None:
        """Cut two machines off from each other."""
        self.cut.add(frozenset((one, other)))

    def reachable(self, machine: Machine) -> list[Machine]:
        """Return the running machines that a machine reaches."""
        return [
            other
            for other in self.machines.values()
            if other is not machine
            and other.replica is not None
            and frozenset((machine.host, other.host)) not in self.cut
        ]

    async def carry(
        self,
        sender: Machine,
        address: Address,
        msg: Message,
    ) -> Message | None:
        """Carry a call and its answer."""
        receiver = self.machines[address.host]
        if receiver not in self.reachable(sender):
            return None
        await self._travel()
        if receiver.replica is None:
            return None
        answer = await receiver.replica.handle_call(_copy(msg))
        await self._travel()
        return None if answer is None else _copy(answer)

    def post(self, sender: Machine, receiver: Machine, msg: Message) -> None:
        """Carry a message without an answer."""
        task = asyncio.create_task(self._deliver(sender, receiver, msg))
        self._posted.add(task)
        task.add_done_callback(self._posted.discard)

    async def _deliver(
        self,
        sender: Machine,
        receiver: Machine,
        msg: Message,
    ) -> None:
        try:
            await self._travel()
        except TimeoutError:
            return
        if receiver.replica is None or (
            frozenset((sender.host, receiver.host)) in self.cut
        ):
            return
        if isinstance(msg, Learned):
            receiver.replica.learn(msg.state)
        elif isinstance(msg, Join):
            receiver.replica.on_join(msg)

    async def _travel(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.001, 0.07))
        if self.rng.random() < self.loss:
            await asyncio.sleep(60)
            raise TimeoutError


def configuration(version: int, text: str = '') -> ReplaceConfiguration:
    """Return an order with a recognisable body."""
    return ReplaceConfiguration(
        version=version,
        body=f'{version}{text}'.encode(),
    )


def _copy(msg: Message) -> Message:
    codec = Codec('', 'test')
    return codec.decode(codec.encode(msg)).unwrap().message
