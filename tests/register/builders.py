"""Builders of a register of several instances on an emulated network."""

import asyncio
import pathlib
import random
import shutil
from typing import Any

from returns.result import Failure, Result, Success

from cuminhoist.codec import Codec, Message
from cuminhoist.fleet.control_instance import LEAVE_DELAY_S, LEAVE_LIMIT_S
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

from .builders_disks import PoweredDisk, UnsyncedDisk

PORT = 7000
#: Interval between heartbeats, in seconds.
HEARTBEAT_S = 0.5


class InlineDisk(DiskExecutor):
    """A disk whose operations take no time, or fail because it is full."""

    def __init__(self) -> None:
        self.is_full = False

    async def run(self, operation: Any, *args: Any) -> Result[Any, DiskError]:
        await asyncio.sleep(0)
        if self.is_full:
            return Failure(DiskError(DiskErrorKind.full, '', 'full'))
        return Success(operation(*args))


class Machine(ControlPeers):
    """One control instance; its disk stays when its process ends."""

    def __init__(self, cluster: 'EmulatedCluster', host: str) -> None:
        self.cluster = cluster
        self.host = host
        self.address = Address(host, PORT)
        self.folder = cluster.folder / host
        self.disk: InlineDisk | PoweredDisk = InlineDisk()
        self.wiped = False
        self.leaving = False
        self.acceptor: Acceptor | None = None
        self.replica: RegisterReplica | None = None
        #: States that each incarnation has learned, in order.
        self.learned_states: list[list[DeclaredState]] = []
        self._heard_at: dict[str, float] = {}
        #: When each voter was last seen as the active proposer.
        self._active_at: dict[str, float] = {}
        self._started_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *, first_start: bool) -> None:
        """Start a process with the present contents of the disk."""
        self.learned_states.append([])
        self.leaving = False
        self._heard_at = {}
        self._started_at = asyncio.get_running_loop().time()
        if self.cluster.unsynced is not None:
            rng = random.Random(self.cluster.rng.getrandbits(32))
            self.disk = PoweredDisk(self.cluster.unsynced, rng)
        files = AcceptorFiles(self.folder)
        founders = (
            DeclaredState.from_founders(self.cluster.founders)
            if first_start
            else None
        )
        identity = files.load_or_create_identity(
            self.host, founders, self.cluster.rng
        )
        self.acceptor = Acceptor.from_files(identity.voter, files, self.disk)
        self.replica = RegisterReplica(
            self.acceptor,
            files.learned.load() or identity.founders,
            self.address,
            self,
            self._on_learned,
            random.Random(self.cluster.rng.getrandbits(32)),
            self.cluster.tolerated_losses,
        )
        self._tasks = [
            asyncio.create_task(self.replica.run_proposals()),
            asyncio.create_task(self.replica.run_membership()),
            asyncio.create_task(self._run_heartbeats()),
        ]
        self.cluster.send_latest_chosen(self)

    async def kill(self) -> None:
        """End the process; the disk stays."""
        if isinstance(self.disk, PoweredDisk):
            self.disk.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.replica = None

    async def stop(self) -> None:
        """End the process as after SIGTERM: the others know it before."""
        self.leaving = True
        await self.replica.leave(LEAVE_DELAY_S, LEAVE_LIMIT_S)
        await self.kill()

    async def wipe(self) -> None:
        """End the process and empty its disk."""
        await self.kill()
        self.wiped = True
        shutil.rmtree(self.folder)
        if self.cluster.unsynced is not None:
            self.cluster.unsynced.forget(self.folder)

    async def call(
        self,
        address: Address,
        msg: Message,
        timeout_s: float,
    ) -> Message | None:
        # A request whose sender no longer waits is delivered all the same.
        task = asyncio.create_task(
            self.cluster.deliver_call(self, address, msg)
        )
        await asyncio.wait([task], timeout=timeout_s)
        return task.result() if task.done() else None

    def broadcast(self, msg: Message) -> None:
        for other in self.cluster.machines.values():
            if other is not self:
                self.cluster.send(self, other, msg)

    def send_to(self, address: Address, msg: Message) -> None:
        self.cluster.send(self, self.cluster.machines[address.host], msg)

    def reachable_voters(self, own: str) -> set[str]:
        return {
            other.replica.name
            for other in self.cluster.reachable(self)
            if other.replica is not None
        }

    def is_active_proposer(self, voter: str) -> bool:
        now = asyncio.get_running_loop().time()
        is_active = self._is_active_now(voter)
        if is_active:
            self._active_at[voter] = now
        known_for_s = self.cluster.proposer_known_for_s
        return is_active or (
            voter not in self.leaving_voters()
            and now - self._active_at.get(voter, float('-inf')) < known_for_s
        )

    def _is_active_now(self, voter: str) -> bool:
        return any(
            other.replica is not None
            and not other.leaving
            and other.replica.name == voter
            and other.replica.reaches_quorum(other.reachable_voters(voter))
            for other in self.cluster.reachable(self)
        )

    def leaving_voters(self) -> set[str]:
        return {
            other.replica.name
            for other in self.cluster.reachable(self)
            if other.leaving
        }

    def voter_silence_s(self, voter: str) -> float:
        now = asyncio.get_running_loop().time()
        return now - self._heard_at.get(voter, self._started_at)

    async def _run_heartbeats(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            for other in self.cluster.reachable(self):
                self._heard_at[other.replica.name] = now
            self.cluster.send_latest_chosen(self)
            await asyncio.sleep(HEARTBEAT_S)

    def _on_learned(self, state: DeclaredState) -> None:
        self.learned_states[-1].append(state)


class EmulatedCluster:
    """Machines and the network between them.

    :param folder: the directory of their disks.
    :param count: number of machines; the first three are founders.
    :param seed: seed of message delays and losses.
    """

    def __init__(self, folder: pathlib.Path, count: int, seed: int) -> None:
        self.folder = folder
        self.rng = random.Random(seed)
        self.loss_fraction = 0.0
        #: Longest delay of a message, in seconds.
        self.max_delay_s = 0.07
        self.cut_links: set[frozenset[str]] = set()
        self.tolerated_losses = 1
        #: What a power loss leaves of the disks; none if no power is lost.
        self.unsynced: UnsyncedDisk | None = None
        #: For how long a proposer that is gone is taken for active.
        self.proposer_known_for_s = 0.0
        #: Set when the machine goes on, by host of each frozen machine.
        self.frozen: dict[str, asyncio.Event] = {}
        self.machines = {
            host: Machine(self, host)
            for host in (f'10.{number}.0.1' for number in range(1, count + 1))
        }
        self.founders = tuple(
            machine.address for machine in list(self.machines.values())[:3]
        )
        self._send_tasks: set[asyncio.Task[None]] = set()

    @property
    def hosts(self) -> list[str]:
        """Hosts of all machines."""
        return list(self.machines)

    @property
    def running_hosts(self) -> list[str]:
        """Hosts of the machines that run, sorted."""
        return sorted(
            host
            for host, machine in self.machines.items()
            if machine.replica is not None
        )

    @property
    def voting_hosts(self) -> list[str]:
        """Hosts of the voters of the newest known state, sorted."""
        state = self.newest_state()
        return sorted(voter.address.host for voter in state.voters)

    async def form(self) -> None:
        """Start all machines and wait until all are voters."""
        for machine in self.machines.values():
            machine.start(first_start=True)
        await self.wait_for_votes()

    def add_machine(self) -> Machine:
        """Start a machine that was not there before, with an empty disk."""
        machine = Machine(self, f'10.{len(self.machines) + 1}.0.1')
        self.machines[machine.host] = machine
        machine.start(first_start=False)
        return machine

    def isolate(self, host: str) -> None:
        """Drop all messages between a machine and the others."""
        for other in self.hosts:
            if other != host:
                self.disconnect(host, other)

    def freeze(self, host: str) -> None:
        """Hold all messages from and to a machine until it goes on."""
        self.frozen[host] = asyncio.Event()

    def unfreeze(self, host: str) -> None:
        """Deliver the messages that a frozen machine did not get or send."""
        self.frozen.pop(host).set()

    def newest_state(self) -> DeclaredState:
        """Return the newest chosen state that any machine knows."""
        states = [
            machine.replica.latest_chosen
            for machine in self.machines.values()
            if machine.replica is not None and machine.replica.latest_chosen
        ]
        return max(states, key=lambda state: state.index)

    async def kill_all(self, hosts: list[str]) -> None:
        """End several processes at the same moment."""
        await asyncio.gather(*(self.machines[host].kill() for host in hosts))

    async def lose_power(self, hosts: list[str], wiped: list[str]) -> None:
        """End all processes; some disks are lost, the others lose power.

        :param hosts: machines that lose power or their disks.
        :param wiped: those of them that lose their disks.
        """
        await self.kill_all(hosts)
        for host in hosts:
            if host in wiped:
                await self.machines[host].wipe()
            else:
                self.unsynced.lose_power(self.machines[host].folder)

    async def start_all(self, hosts: list[str], within_s: float) -> None:
        """Start machines again in any order within some time."""
        delays_s = sorted(self.rng.uniform(0, within_s) for _ in hosts)
        waited_s = 0.0
        for host, delay_s in zip(
            self.rng.sample(hosts, len(hosts)), delays_s, strict=True
        ):
            await asyncio.sleep(delay_s - waited_s)
            waited_s = delay_s
            self.machines[host].start(first_start=False)

    async def wait_for_votes(self) -> None:
        """Wait up to 40 s until all running instances are voters."""
        for _ in range(400):
            await asyncio.sleep(0.1)
            if all(
                machine.replica is None or machine.replica.is_voter
                for machine in self.machines.values()
            ):
                return

    def lost_disks(self) -> set[str]:
        """Return the hosts with an emptied disk that are not voters again.

        Only the newest state known to any replica decides who is a voter.
        """
        voting = {voter.name for voter in self.newest_state().voters}
        return {
            machine.host
            for machine in self.machines.values()
            if machine.wiped
            and (machine.replica is None or machine.replica.name not in voting)
        }

    def send_latest_chosen(self, machine: Machine) -> None:
        """Send a machine the states of the others that are newer than its."""
        known = machine.replica.latest_chosen
        for other in self.reachable(machine):
            state = other.replica.latest_chosen
            if state is not None and (
                known is None or known.index < state.index
            ):
                self.send(other, machine, Learned(state=state))

    def disconnect(self, host: str, other: str) -> None:
        """Drop all messages between two machines."""
        self.cut_links.add(frozenset((host, other)))

    def reachable(self, machine: Machine) -> list[Machine]:
        """Return the running machines that a machine reaches."""
        return [
            other
            for other in self.machines.values()
            if other is not machine
            and other.replica is not None
            and frozenset((machine.host, other.host)) not in self.cut_links
            and self.frozen.keys().isdisjoint((machine.host, other.host))
        ]

    async def deliver_call(
        self,
        sender: Machine,
        address: Address,
        msg: Message,
    ) -> Message | None:
        """Deliver a call and its reply."""
        receiver = self.machines[address.host]
        if not await self._passes(sender, receiver):
            return None
        reply = await receiver.replica.handle_call(_copy(msg))
        if reply is None or not await self._passes(receiver, sender):
            return None
        return _copy(reply)

    def send(self, sender: Machine, receiver: Machine, msg: Message) -> None:
        """Deliver a message that has no reply."""
        task = asyncio.create_task(self._deliver(sender, receiver, msg))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    async def _deliver(
        self,
        sender: Machine,
        receiver: Machine,
        msg: Message,
    ) -> None:
        if not await self._passes(sender, receiver):
            return
        if isinstance(msg, Learned):
            receiver.replica.learn(msg.state)
        elif isinstance(msg, Join):
            receiver.replica.on_join(msg)

    async def _passes(self, sender: Machine, receiver: Machine) -> bool:
        """Wait for a message's delay; tell whether it arrives."""
        await asyncio.sleep(self.rng.uniform(0.001, self.max_delay_s))
        for host in (sender.host, receiver.host):
            if host in self.frozen:
                await self.frozen[host].wait()
        if self.rng.random() < self.loss_fraction:
            # The sender waits for a reply until its time-out.
            await asyncio.sleep(60)
            return False
        return (
            receiver.replica is not None
            and frozenset((sender.host, receiver.host)) not in self.cut_links
        )


def configuration(version: int, text: str = '') -> ReplaceConfiguration:
    """Return an order whose body names the version and a text."""
    return ReplaceConfiguration(
        version=version,
        body=f'{version}{text}'.encode(),
    )


def _copy(msg: Message) -> Message:
    codec = Codec('', 'test')
    return codec.decode(codec.encode(msg)).unwrap().message
