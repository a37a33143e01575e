"""Borrows unused rate tokens from other entry instances.

A caller whose requests arrive at one instance would only get that instance's
share of its rate. The instance therefore asks its peers in turn for tokens for
all callers that run short, with a bounded number of calls per second.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Success

from .clock import Clock
from .codec import Message, register_message
from .logging_setup import logger
from .rates import ROUNDING_TOLERANCE, Loan, RateLimiter, RateShare
from .settings import Topology
from .transport import ErrorReply, Transport

#: A loan carries at most the burst of one share, by default two seconds of
#: refill, so the nine lenders of ten instances need 4.5 calls a second.
CALLS_PER_S = 5.0
#: An instance borrows from at most this number of peers.
MAX_LENDERS = 9
#: Callers and services in one call; the others follow in the next one.
MAX_WANTS_PER_CALL = 256
CALL_TIMEOUT_S = 0.5
#: A peer that lent nothing is called again after this time, which doubles
#: up to the maximum: nine lenders without tokens then take about one call
#: a second.
BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
#: A loan is replaced this long before it ends, since calls are sent at
#: intervals.
RENEW_BEFORE_S = 0.4
#: A peer that did not reply is called again after this time, so that the
#: full rate is available soon after a partition.
SILENT_BACKOFF_S = 2.0

_log = logger('rates')

Sleep = Callable[[float], Awaitable[None]]


class RateWanted(msgspec.Struct, frozen=True, array_like=True):
    """Tokens per second that the borrower lacks."""

    caller: str
    service: str
    rate_per_s: float


class RateLent(msgspec.Struct, frozen=True, array_like=True):
    """Tokens per second that were lent, and the lender's share then."""

    caller: str
    service: str
    rate_per_s: float
    share: RateShare


@register_message
class BorrowTokens(Message, frozen=True):
    """Request for unused tokens of a peer.

    :param incarnation: incarnation of the borrower.
    :param number: number of the call within the incarnation.
    """

    incarnation: str
    number: int
    wants: tuple[RateWanted, ...]


@register_message
class TokensLent(Message, frozen=True):
    """Loans that the lender has deducted; callers without one get none.

    :param number: number of the call.
    :param loans: the loans.
    """

    number: int
    loans: tuple[RateLent, ...]


class Lender:
    """Replies to the calls of borrowers.

    :param shares: rates of this instance.
    :param clock: time source.
    """

    def __init__(self, rates: RateLimiter, clock: Clock) -> None:
        self._rates = rates
        self._clock = clock
        #: Incarnation of each borrower and the reply to its last call.
        self._last_replies: dict[str, tuple[str, TokensLent]] = {}

    async def on_borrow(self, sender: str, msg: Message) -> Message:
        """Deduct loans and return them.

        :param sender: name of the borrower.
        :param msg: the call.
        """
        if not isinstance(msg, BorrowTokens):
            return ErrorReply(reason='expected a BorrowTokens message')
        incarnation, reply = self._last_replies.get(sender, ('', None))
        if reply is not None and incarnation == msg.incarnation:
            # Only the first copy of a call deducts tokens: tokens deducted
            # for a late copy would reach nobody.
            if msg.number == reply.number:
                return reply
            if msg.number < reply.number:
                return TokensLent(number=msg.number, loans=())
        lent = TokensLent(number=msg.number, loans=self._lend(msg.wants))
        self._last_replies[sender] = (msg.incarnation, lent)
        return lent

    def _lend(self, wants: tuple[RateWanted, ...]) -> tuple[RateLent, ...]:
        now = self._clock.now()
        loans: list[RateLent] = []
        for want in wants:
            bucket = self._rates.bucket((want.caller, want.service))
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


class _Lender(msgspec.Struct):
    """A peer to borrow from.

    :param rank: position by distance; 0 is the nearest peer.

    :param next_call_at: monotonic time before which it is not called.
    :param lent_ratio: rate that it lent in the last call, divided by the
        rate that was asked for.
    :param backoff_s: time in seconds to the next call if it lends nothing.
    """

    name: str
    rank: int
    next_call_at: float = 0
    lent_ratio: float = 1
    backoff_s: float = BACKOFF_S


class Borrower:
    """Borrows tokens for all callers that lack them at this instance.

    :param shares: rates of this instance.
    :param transport: carries the calls.
    :param clock: time source.
    :param lenders: names of peers, the nearest first.
    :param incarnation: incarnation of this instance.
    :param calls_per_s: most calls per second.
    """

    def __init__(
        self,
        rates: RateLimiter,
        transport: Transport,
        clock: Clock,
        lenders: tuple[str, ...],
        incarnation: str,
        calls_per_s: float = CALLS_PER_S,
    ) -> None:
        self._rates = rates
        self._transport = transport
        self._clock = clock
        self._lenders = [
            _Lender(name, rank)
            for rank, name in enumerate(lenders[:MAX_LENDERS])
        ]
        self._incarnation = incarnation
        self._call_interval_s = 1 / calls_per_s
        self._pending_calls: set[asyncio.Task[bool]] = set()
        self.call_count = 0
        transport.add_handler(BorrowTokens, Lender(rates, clock).on_borrow)

    async def run(self, sleep: Sleep = asyncio.sleep) -> None:
        """Borrow until cancelled.

        :param sleep: waits for the given seconds.
        """
        try:
            while True:
                await sleep(self._call_interval_s)
                # A call that waits for a silent peer must not delay calls
                # to the others.
                call = asyncio.create_task(self.borrow_once())
                self._pending_calls.add(call)
                call.add_done_callback(self._pending_calls.discard)
        finally:
            for pending in self._pending_calls:
                pending.cancel()
            await asyncio.gather(*self._pending_calls, return_exceptions=True)

    async def borrow_once(self) -> bool:
        """Call one lender if a caller lacks tokens.

        :returns: whether a lender was called.
        """
        wants = self._wants()
        lender = self._choose_lender() if wants else None
        if lender is None:
            return False
        self.call_count += 1
        number = self.call_count
        sent_at = self._clock.now()
        lender.next_call_at = sent_at + CALL_TIMEOUT_S + SILENT_BACKOFF_S
        reply = await self._transport.call(
            lender.name,
            BorrowTokens(
                incarnation=self._incarnation,
                number=number,
                wants=wants,
            ),
            CALL_TIMEOUT_S,
        )
        lent = reply.unwrap() if isinstance(reply, Success) else None
        if isinstance(lent, TokensLent) and lent.number == number:
            self._add_loans(lent, sent_at)
            self._update_lender(lender, wants, lent, sent_at)
        else:
            lender.lent_ratio = 0
            lender.next_call_at = self._clock.now() + SILENT_BACKOFF_S
        return True

    def _wants(self) -> tuple[RateWanted, ...]:
        wants = sorted(
            self._rates.shortfalls(),
            key=lambda wanted: wanted[1],
            reverse=True,
        )
        return tuple(
            RateWanted(caller, service, rate_per_s)
            for (caller, service), rate_per_s in wants[:MAX_WANTS_PER_CALL]
        )

    def _choose_lender(self) -> _Lender | None:
        now = self._clock.now()
        ready = [entry for entry in self._lenders if entry.next_call_at <= now]
        # Prefer the peer that lent most of what was asked for, then the
        # longest due, then the nearest.
        return min(
            ready,
            key=lambda entry: (
                -round(entry.lent_ratio, 1),
                entry.next_call_at,
                entry.rank,
            ),
            default=None,
        )

    def _add_loans(self, lent: TokensLent, sent_at: float) -> None:
        for lent_rate in lent.loans:
            bucket = self._rates.bucket((lent_rate.caller, lent_rate.service))
            if bucket is not None:
                # The duration counts from the time of sending, so the loan
                # ends here no later than at the lender, although their
                # clocks are unrelated.
                ends_at = sent_at + lent_rate.share.loan_s
                loan = Loan(lent_rate.rate_per_s, ends_at)
                bucket.borrow(loan, lent_rate.share, self._clock.now())

    def _update_lender(
        self,
        lender: _Lender,
        wants: tuple[RateWanted, ...],
        lent: TokensLent,
        sent_at: float,
    ) -> None:
        lent_per_s = sum(entry.rate_per_s for entry in lent.loans)
        wanted_per_s = sum(entry.rate_per_s for entry in wants)
        lender.lent_ratio = lent_per_s / max(wanted_per_s, ROUNDING_TOLERANCE)
        if lent.loans:
            lender.backoff_s = BACKOFF_S
            loan_s = min(entry.share.loan_s for entry in lent.loans)
            lender.next_call_at = sent_at + max(
                loan_s - RENEW_BEFORE_S, self._call_interval_s
            )
            return
        lender.next_call_at = sent_at + lender.backoff_s
        lender.backoff_s = min(2 * lender.backoff_s, MAX_BACKOFF_S)


def nearest_lenders(topology: Topology, name: str) -> tuple[str, ...]:
    """Return the peers to borrow from: own domain, own region, then others.

    Peers at an equal distance are ordered from the instance's own position
    in the deployment on, so that instances do not all call the first ones.

    :param topology: the deployment.
    :param name: name of the instance.
    """
    own = topology.instance(name)
    region = topology.region_of(own.domain)
    entries = topology.entry_instances()
    names = [entry.name for entry in entries]
    position = names.index(own.name) if own.name in names else 0
    rotated = entries[position:] + entries[:position]
    peers = [entry for entry in rotated if entry.name != name]
    peers.sort(
        key=lambda entry: (
            entry.domain != own.domain,
            topology.region_of(entry.domain) != region,
        ),
    )
    return tuple(entry.name for entry in peers)
