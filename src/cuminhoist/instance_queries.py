"""Queries all instances for their configuration and accounts.

Any instance can answer an operator: it queries all others on request. Besides,
the entry instances of a failure domain query each other's accounts regularly,
so that a crash loses at most the last few seconds of them.
"""

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

QUERY_TIMEOUT_S = 1.0
#: At 0.6 ms a round trip, that many calls take 0.3 s, less than the time-out.
#: With 3,900 silent instances, a query takes eight time-outs.
MAX_CONCURRENT_CALLS = 512
#: A crash loses the accounts of at most this time.
ACCOUNT_SYNC_INTERVAL_S = 5.0


class Held(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that an instance has in force."""

    version: int
    currency: Currency
    incarnation: str


@register_message
class StatusQuery(Message, frozen=True):
    """Query the configuration that an instance has in force."""


@register_message
class StatusReply(Message, frozen=True):
    """The configuration that the instance has in force."""

    held: Held


@register_message
class ReportQuery(Message, frozen=True):
    """Query the accounts of an instance and its copies of other accounts.

    :param known: progress of the incarnations in the receiver's failure domain
        that the sender has snapshots of.
    :param with_current: also ask for copies of incarnations that replied to
        the receiver last time, as they may have crashed since.
    """

    known: tuple[KnownIncarnation, ...] = ()
    with_current: bool = False


@register_message
class ReportReply(Message, frozen=True):
    """The accounts of an instance.

    :param current: accounts of its current incarnation, None without accounts.
    :param heard: copies of accounts of its domain that the sender lacks.
    """

    current: AccountSnapshot | None
    heard: tuple[AccountSnapshot, ...] = ()


class InstanceLine(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that one instance has in force.

    :param held: the configuration, None if the instance did not reply.
    :param reason: why there is no reply.
    """

    name: str
    domain: str
    address: str
    held: Held | None
    reason: str = ''


class Instances(msgspec.Struct, frozen=True, kw_only=True):
    """The configurations that all instances have in force.

    :param version: the highest version of the instances that replied.
    """

    version: int
    instances: tuple[InstanceLine, ...]


class InstanceQuerier:
    """Queries all instances of a deployment and answers such queries.

    :param own: name of this instance.
    :param topology: the deployment.
    :param transport: sends and receives the queries.
    :param held: returns the configuration that this instance has in force.
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
        self._domain_entries = _entries_of_same_domain(topology)
        self._own_domain_entries = self._domain_entries[own]
        self._query_round: asyncio.Task[tuple[str, ...]] | None = None
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        transport.add_handler(StatusQuery, self._on_query)
        transport.add_handler(ReportQuery, self._on_query)

    async def instances(self) -> Instances:
        """Return the configuration that each instance has in force."""
        instances = self._topology.instances
        replies = await asyncio.gather(
            *(
                self._query(instance.name, StatusQuery())
                for instance in instances
            ),
        )
        lines = tuple(
            _instance_line(instance, reply)
            for instance, reply in zip(instances, replies, strict=True)
        )
        held = [line.held.version for line in lines if line.held is not None]
        return Instances(version=max(held, default=-1), instances=lines)

    async def report(self, entitlements: Entitlements) -> Report:
        """Return the accounts of all instances.

        Concurrent reports share one round of calls, so that many requests for
        reports do not multiply the load.

        :param entitlements: rates that the plans in force promise.
        """
        if self._query_round is None or self._query_round.done():
            self._query_round = asyncio.create_task(
                self._query_accounts(
                    self._topology.instances, with_current=True
                )
            )
        silent = await asyncio.shield(self._query_round)
        return build_report(self.ledger, entitlements, silent)

    async def run_account_sync(self) -> None:
        """Query the accounts of the domain peers at a fixed interval."""
        peers = tuple(
            peer
            for peer in self._topology.instances
            if peer.name in self._own_domain_entries and peer.name != self._own
        )
        while peers:
            await self._query_accounts(peers, with_current=False)
            await asyncio.sleep(ACCOUNT_SYNC_INTERVAL_S)

    async def _query_accounts(
        self,
        instances: tuple[Instance, ...],
        *,
        with_current: bool,
    ) -> tuple[str, ...]:
        replies = await asyncio.gather(
            *(
                self._query(
                    instance.name,
                    ReportQuery(
                        known=self.ledger.progress_of(
                            self._domain_entries[instance.name]
                        ),
                        with_current=with_current,
                    ),
                )
                for instance in instances
            ),
        )
        silent: list[str] = []
        for instance, reply in zip(instances, replies, strict=True):
            if isinstance(reply, ReportReply):
                self._merge_reply(instance.name, reply)
            else:
                silent.append(instance.name)
                self.ledger.mark_silent(instance.name)
        return tuple(silent)

    def _merge_reply(self, name: str, reply: ReportReply) -> None:
        self.ledger.merge(reply.heard)
        if reply.current is not None:
            self.ledger.mark_replied(name, reply.current.incarnation)
            self.ledger.merge((reply.current,))

    async def _query(self, name: str, query: Message) -> Message:
        if name == self._own:
            return await self._on_query(name, query)
        async with self._call_slots:
            result = await self._transport.call(name, query, QUERY_TIMEOUT_S)
        if isinstance(result, Success):
            reply: Message = result.unwrap()
            return reply
        return ErrorReply(reason=result.failure().reason)

    async def _on_query(self, _sender: str, msg: Message) -> Message:
        if isinstance(msg, StatusQuery):
            return StatusReply(held=self._held())
        if self._accounts is None or not isinstance(msg, ReportQuery):
            return ReportReply(current=None)
        return ReportReply(
            current=self._accounts.snapshot(),
            heard=self.ledger.missing_snapshots(
                self._own_domain_entries,
                msg.known,
                with_current=msg.with_current,
            ),
        )


def _entries_of_same_domain(topology: Topology) -> dict[str, frozenset[str]]:
    names_by_domain: dict[str, set[str]] = {}
    for entry in topology.entry_instances():
        names_by_domain.setdefault(entry.domain, set()).add(entry.name)
    no_entries: frozenset[str] = frozenset()
    entries_of_domain = {
        name: frozenset(names) for name, names in names_by_domain.items()
    }
    return {
        instance.name: entries_of_domain[instance.domain]
        if Role.entry in instance.roles
        else no_entries
        for instance in topology.instances
    }


def address_of(instance: Instance) -> str:
    """Return the HTTP address of an instance.

    :param instance: the instance.
    """
    return f'http://{instance.host}:{instance.http_port}'


def _instance_line(instance: Instance, reply: Message) -> InstanceLine:
    held = reply.held if isinstance(reply, StatusReply) else None
    reason = reply.reason if isinstance(reply, ErrorReply) else ''
    return InstanceLine(
        name=instance.name,
        domain=instance.domain,
        address=address_of(instance),
        held=held,
        reason=reason,
    )
