"""Loans of unused rate between entry instances."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Success

from .clock import Clock
from .codec import Message, register_message
from .logging_setup import logger
from .rates import ROUNDING, Loan, RateLimiter, RateShare
from .settings import Topology
from .transport import ErrorReply, Transport

#: A loan brings at most the burst of one share, two seconds of refill by
#: default, so all nine partners of ten instances take 4.5 calls a second.
CALLS_PER_S = 5.0
#: An instance borrows from at most this number of peers.
MAX_PARTNERS = 9
#: Callers in one call; the rest follow in the next one.
MAX_WANTS = 256
CALL_TIMEOUT_S = 0.5
#: A peer that had nothing is asked again after this, then after twice
#: this and so on: nine partners without tokens cost about one call a second.
BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
#: A loan is replaced this long before it ends; calls wait for each other.
EARLY_S = 0.4
#: A peer that did not respond is asked again after this, so that the full
#: rate is back soon after a partition.
SILENT_BACKOFF_S = 2.0

_log = logger('rates')

Sleep = Callable[[float], Awaitable[None]]


class RateWanted(msgspec.Struct, frozen=True, array_like=True):
    """A rate that the borrower lacks."""

    caller: str
    service: str
    rate_per_s: float


class RateLent(msgspec.Struct, frozen=True, array_like=True):
    """A rate that the lender deducted, and its share at that time."""

    caller: str
    service: str
    rate_per_s: float
    share: RateShare


@register_message
class BorrowTokens(Message, frozen=True):
    """Ask a peer for unused tokens.

    :param incarnation: identity of the borrower's process.
    :param number: counts the calls of this process.
    """

    incarnation: str
    number: int
    wants: tuple[RateWanted, ...]


@register_message
class TokensLent(Message, frozen=True):
    """Tokens that the lender has deducted; missing pairs get none.

    :param number: number of the call.
    :param loans: rates that were lent.
    """

    number: int
    loans: tuple[RateLent, ...]


class Lender:
    """Answers the calls of borrowers.

    :param shares: rates of this instance.
    :param clock: time source.
    """

    def __init__(self, shares: RateLimiter, clock: Clock) -> None:
        self._shares = shares
        self._clock = clock
        #: The last call of each borrower and its reply.
        self._last: dict[str, tuple[str, TokensLent]] = {}

    async def on_borrow(self, sender: str, msg: Message) -> Message:
        """Deduct loans and return them.

        :param sender: name of the borrower.
        :param msg: the call.
        """
        if not isinstance(msg, BorrowTokens):
            return ErrorReply(reason='not a call for tokens')
        incarnation, reply = self._last.get(sender, ('', None))
        if reply is not None and incarnation == msg.incarnation:
            # Only the first copy of a call is honoured: a late copy would
            # deduct tokens that nobody receives.
            if msg.number == reply.number:
                return reply
            if msg.number < reply.number:
                return TokensLent(number=msg.number, loans=())
        lent = TokensLent(number=msg.number, loans=self._lend(msg.wants))
        self._last[sender] = (msg.incarnation, lent)
        return lent

    def _lend(self, wants: tuple[RateWanted, ...]) -> tuple[RateLent, ...]:
        now = self._clock.now()
        loans: list[RateLent] = []
        for want in wants:
            bucket = self._shares.bucket((want.caller, want.service))
            if bucket is None:
                continue
            loan = bucket.lend(want.rate_per_s, now)
            if loan is not None:
                loans.append(
                    RateLent(
                        want.caller,
                        want.service,
                        loan.rate_per_s,
                        bucket.share,
                    ),
                )
        return tuple(loans)


class _Partner(msgspec.Struct):
    """What is known about a peer.

    :param ask_at: not to be asked before this monotonic time.
    :param yielded: part of the last call that it lent.
    """

    name: str
    rank: int
    ask_at: float = 0
    yielded: float = 1
    backoff_s: float = BACKOFF_S


class Borrower:
    """Borrows for all callers that run short at this instance.

    :param shares: rates of this instance.
    :param transport: carries the calls.
    :param clock: time source.
    :param partners: names of peers, the nearest first.
    :param incarnation: identity of this process.
    :param calls_per_s: upper bound of the calls.
    """

    def __init__(
        self,
        shares: RateLimiter,
        transport: Transport,
        clock: Clock,
        partners: tuple[str, ...],
        incarnation: str,
        calls_per_s: float = CALLS_PER_S,
    ) -> None:
        self._shares = shares
        self._transport = transport
        self._clock = clock
        self._partners = [
            _Partner(name, rank)
            for rank, name in enumerate(partners[:MAX_PARTNERS])
        ]
        self._incarnation = incarnation
        self._pause_s = 1 / calls_per_s
        self._calling: set[asyncio.Task[bool]] = set()
        self.calls = 0
        transport.add_handler(BorrowTokens, Lender(shares, clock).on_borrow)

    async def run(self, sleep: Sleep = asyncio.sleep) -> None:
        """Borrow until cancelled.

        :param sleep: waits for some seconds.
        """
        try:
            while True:
                await sleep(self._pause_s)
                # A peer that does not respond may not hold up the others.
                call = asyncio.create_task(self.borrow_once())
                self._calling.add(call)
                call.add_done_callback(self._calling.discard)
        finally:
            for pending in self._calling:
                pending.cancel()
            await asyncio.gather(*self._calling, return_exceptions=True)

    async def borrow_once(self) -> bool:
        """Ask one partner if a caller runs short.

        :returns: whether a partner was asked.
        """
        wants = self._wants()
        partner = self._choose() if wants else None
        if partner is None:
            return False
        self.calls += 1
        number = self.calls
        sent_at = self._clock.now()
        partner.ask_at = sent_at + CALL_TIMEOUT_S + SILENT_BACKOFF_S
        reply = await self._transport.call(
            partner.name,
            BorrowTokens(
                incarnation=self._incarnation,
                number=number,
                wants=wants,
            ),
            CALL_TIMEOUT_S,
        )
        lent = reply.unwrap() if isinstance(reply, Success) else None
        if isinstance(lent, TokensLent) and lent.number == number:
            self._take(lent, sent_at)
            self._learn(partner, wants, lent, sent_at)
        else:
            partner.yielded = 0
            partner.ask_at = self._clock.now() + SILENT_BACKOFF_S
        return True

    def _wants(self) -> tuple[RateWanted, ...]:
        wants = sorted(
            self._shares.wanted(),
            key=lambda wanted: wanted[1],
            reverse=True,
        )
        return tuple(
            RateWanted(caller, service, rate_per_s)
            for (caller, service), rate_per_s in wants[:MAX_WANTS]
        )

    def _choose(self) -> _Partner | None:
        now = self._clock.now()
        ready = [entry for entry in self._partners if entry.ask_at <= now]
        # Peers that lent much come first; among equals the nearest one.
        return min(
            ready,
            key=lambda entry: (
                -round(entry.yielded, 1),
                entry.ask_at,
                entry.rank,
            ),
            default=None,
        )

    def _take(self, lent: TokensLent, sent_at: float) -> None:
        for entry in lent.loans:
            bucket = self._shares.bucket((entry.caller, entry.service))
            if bucket is not None:
                # Counted from the time of sending, the loan ends here no
                # later than at the lender, without a common clock.
                ends_at = sent_at + entry.share.loan_s
                loan = Loan(entry.rate_per_s, ends_at)
                bucket.borrow(loan, entry.share, self._clock.now())

    def _learn(
        self,
        partner: _Partner,
        wants: tuple[RateWanted, ...],
        lent: TokensLent,
        sent_at: float,
    ) -> None:
        share = sum(entry.rate_per_s for entry in lent.loans)
        wanted = sum(entry.rate_per_s for entry in wants)
        partner.yielded = share / max(wanted, ROUNDING)
        if lent.loans:
            partner.backoff_s = BACKOFF_S
            lease_s = min(entry.share.loan_s for entry in lent.loans)
            partner.ask_at = sent_at + max(lease_s - EARLY_S, self._pause_s)
            return
        partner.ask_at = sent_at + partner.backoff_s
        partner.backoff_s = min(2 * partner.backoff_s, MAX_BACKOFF_S)


def lenders_of(topology: Topology, name: str) -> tuple[str, ...]:
    """Return whom an instance borrows from: own domain, own region, others.

    Peers of the same distance are taken in turn from the instance's own
    place in the list, so that instances do not all ask the same ones.

    :param topology: the deployment.
    :param name: name of the instance.
    """
    own = topology.instance(name)
    region = topology.region_of(own.domain)
    entries = topology.entry_instances()
    names = [entry.name for entry in entries]
    turn = names.index(own.name) if own.name in names else 0
    rotated = entries[turn:] + entries[:turn]
    peers = [entry for entry in rotated if entry.name != name]
    peers.sort(
        key=lambda entry: (
            entry.domain != own.domain,
            topology.region_of(entry.domain) != region,
        ),
    )
    return tuple(entry.name for entry in peers)
