"""Questions that one instance asks all others for an operator."""

import asyncio
from collections.abc import Callable

import msgspec
from returns.result import Success

from .account_records import AccountSnapshot, AccountSource
from .codec import Message, register_message
from .entitlements import Entitlements
from .freshness import Currency
from .ledger import AccountLedger, KnownIncarnation
from .reports import Report, build_report
from .settings import Instance, Role, Topology
from .transport import ErrorReply, Transport

ASK_TIMEOUT_S = 1.0
#: Calls in flight at once. At 0.6 ms a round trip they take 0.3 s, less than
#: the timeout; 3,900 silent instances take eight timeouts.
MAX_CALLS = 512
#: What a crash loses of the accounts is at most this long.
ACCOUNT_SYNC_INTERVAL_S = 5.0


class Held(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that an instance has in force."""

    version: int
    currency: Currency
    incarnation: str


@register_message
class StatusQuery(Message, frozen=True):
    """Ask an instance what it has in force."""


@register_message
class StatusReply(Message, frozen=True):
    """What an instance has in force."""

    held: Held


@register_message
class ReportQuery(Message, frozen=True):
    """Ask an instance for its accounts.

    :param known: what the sender holds of the lives of the receiver's cell.
    :param with_current: also ask what the receiver has heard of lives of
        its cell that seem to go on; they may just have crashed.
    """

    known: tuple[KnownIncarnation, ...] = ()
    with_current: bool = False


@register_message
class ReportReply(Message, frozen=True):
    """The accounts of an instance.

    :param current: accounts of its current life, None without them.
    :param heard: accounts that it heard from its cell and the sender lacks.
    """

    current: AccountSnapshot | None
    heard: tuple[AccountSnapshot, ...] = ()


class InstanceLine(msgspec.Struct, frozen=True, kw_only=True):
    """What one instance has in force.

    :param held: None where the instance did not respond.
    :param reason: why there is no response.
    """

    name: str
    domain: str
    address: str
    held: Held | None
    reason: str = ''


class Instances(msgspec.Struct, frozen=True, kw_only=True):
    """What all instances have in force.

    :param version: the highest version of any instance that responded.
    """

    version: int
    instances: tuple[InstanceLine, ...]


class InstanceQuerier:
    """Asks all instances of a deployment and answers such questions.

    :param own: name of this instance.
    :param topology: the deployment.
    :param transport: carries the questions.
    :param held: returns what this instance has in force.
    :param accounts: accounts of this instance, None without them.
    """

    def __init__(
        self,
        own: str,
        topology: Topology,
        transport: Transport,
        held: Callable[[], Held],
        accounts: AccountSource | None = None,
    ) -> None:
        self._own = own
        self._topology = topology
        self._transport = transport
        self._held = held
        self._accounts = accounts
        self.ledger = AccountLedger()
        self._cells = _cells_of(topology)
        self._cell = self._cells[own]
        self._round: asyncio.Task[tuple[str, ...]] | None = None
        self._room = asyncio.Semaphore(MAX_CALLS)
        transport.add_handler(StatusQuery, self._on_query)
        transport.add_handler(ReportQuery, self._on_query)

    async def instances(self) -> Instances:
        """Return what each instance has in force."""
        asked = self._topology.instances
        replies = await asyncio.gather(
            *(self._ask(instance.name, StatusQuery()) for instance in asked),
        )
        lines = tuple(
            _line(instance, reply)
            for instance, reply in zip(asked, replies, strict=True)
        )
        held = [line.held.version for line in lines if line.held is not None]
        return Instances(version=max(held, default=-1), instances=lines)

    async def report(self, entitlements: Entitlements) -> Report:
        """Return the accounts of all instances.

        Reports that are asked for at the same time share one round of
        calls, so that callers cannot multiply the load.

        :param entitlements: what plans promise now.
        """
        if self._round is None or self._round.done():
            self._round = asyncio.create_task(
                self._hear(self._topology.instances, with_current=True)
            )
        silent = await asyncio.shield(self._round)
        return build_report(self.ledger, entitlements, silent)

    async def run_account_sync(self) -> None:
        """Ask the cell for its accounts again and again."""
        peers = tuple(
            peer
            for peer in self._topology.instances
            if peer.name in self._cell and peer.name != self._own
        )
        while peers:
            await self._hear(peers, with_current=False)
            await asyncio.sleep(ACCOUNT_SYNC_INTERVAL_S)

    async def _hear(
        self,
        asked: tuple[Instance, ...],
        *,
        with_current: bool,
    ) -> tuple[str, ...]:
        replies = await asyncio.gather(
            *(
                self._ask(
                    instance.name,
                    ReportQuery(
                        known=self.ledger.known(self._cells[instance.name]),
                        with_current=with_current,
                    ),
                )
                for instance in asked
            ),
        )
        silent: list[str] = []
        for instance, reply in zip(asked, replies, strict=True):
            if isinstance(reply, ReportReply):
                self._learn(instance.name, reply)
            else:
                silent.append(instance.name)
                self.ledger.silent(instance.name)
        return tuple(silent)

    def _learn(self, name: str, reply: ReportReply) -> None:
        self.ledger.merge(reply.heard)
        if reply.current is not None:
            self.ledger.answered(name, reply.current.incarnation)
            self.ledger.merge((reply.current,))

    async def _ask(self, name: str, query: Message) -> Message:
        if name == self._own:
            return await self._on_query(name, query)
        async with self._room:
            reply = await self._transport.call(name, query, ASK_TIMEOUT_S)
        if isinstance(reply, Success):
            answer: Message = reply.unwrap()
            return answer
        return ErrorReply(reason=reply.failure().reason)

    async def _on_query(self, _sender: str, msg: Message) -> Message:
        if isinstance(msg, StatusQuery):
            return StatusReply(held=self._held())
        if self._accounts is None or not isinstance(msg, ReportQuery):
            return ReportReply(current=None)
        return ReportReply(
            current=self._accounts.snapshot(),
            heard=self.ledger.news(
                self._cell,
                msg.known,
                with_current=msg.with_current,
            ),
        )


def _cells_of(topology: Topology) -> dict[str, frozenset[str]]:
    by_domain: dict[str, set[str]] = {}
    for entry in topology.entry_instances():
        by_domain.setdefault(entry.domain, set()).add(entry.name)
    none: frozenset[str] = frozenset()
    cells = {name: frozenset(names) for name, names in by_domain.items()}
    return {
        instance.name: cells[instance.domain]
        if Role.entry in instance.roles
        else none
        for instance in topology.instances
    }


def address_of(instance: Instance) -> str:
    """Return the HTTP address of an instance.

    :param instance: the instance.
    """
    return f'http://{instance.host}:{instance.http_port}'


def _line(instance: Instance, reply: Message) -> InstanceLine:
    held = reply.held if isinstance(reply, StatusReply) else None
    reason = reply.reason if isinstance(reply, ErrorReply) else ''
    return InstanceLine(
        name=instance.name,
        domain=instance.domain,
        address=address_of(instance),
        held=held,
        reason=reason,
    )
