"""The sending side of grants."""

import asyncio
import math
from typing import Self

import msgspec
from returns.result import Success

from .clock import Clock
from .grants import GrantAsk, GrantReply
from .membership import cross_domain_partners
from .settings import Topology
from .transport import Transport

#: Rates of two clocks differ by at most 1%.
SENDER_GRANT_SHARE = 0.99
ASK_INTERVAL_S = 0.25
ASK_TIMEOUT_S = 0.5
RENEW_BEFORE_S = 1.0
#: One pair of partner and service is asked at most this often.
ASK_AGAIN_S = 0.5
#: Demand that was not repeated for this long is forgotten.
DEMAND_S = 1.0


class _Held(msgspec.Struct):
    """A grant as the sender knows it."""

    count: int = 0
    until: float = 0
    running: int = 0
    asked_at: float = -math.inf


class GrantPermit(msgspec.Struct):
    """The right to send one request to an instance; must be ended."""

    instance: str
    held: _Held
    is_released: bool = False

    def release(self) -> None:
        """Note that the request has ended; further calls do nothing."""
        if not self.is_released:
            self.is_released = True
            self.held.running -= 1


class _Demand(msgspec.Struct):
    wanted: int
    at: float


class GrantClient:
    """The sending side: asks a few partners on demand and counts uses.

    :param partners: names of the partners by failure domain.
    :param clock: time source.
    :param transport: carries asks.
    """

    def __init__(
        self,
        partners: dict[str, tuple[str, ...]],
        clock: Clock,
        transport: Transport,
    ) -> None:
        self._partners = partners
        self._clock = clock
        self._transport = transport
        self._held: dict[tuple[str, str], _Held] = {}
        self._demands: dict[tuple[str, str], _Demand] = {}

    @classmethod
    def from_topology(
        cls,
        topology: Topology,
        name: str,
        clock: Clock,
        transport: Transport,
    ) -> Self:
        """Build the sending side with the partners of an instance.

        :param topology: the deployment.
        :param name: name of the instance.
        :param clock: time source.
        :param transport: carries asks.
        """
        partners: dict[str, tuple[str, ...]] = {}
        for entry in cross_domain_partners(topology, name):
            known = partners.get(entry.domain, ())
            partners[entry.domain] = (*known, entry.name)
        return cls(partners, clock, transport)

    def try_acquire(self, domain: str, service: str) -> GrantPermit | None:
        """Return the right to send a request, or None; notes the demand.

        :param domain: failure domain to send to.
        :param service: name of the service.
        """
        now = self._clock.now()
        for partner in self._partners.get(domain, ()):
            held = self._held.setdefault((partner, service), _Held())
            free = held.count - held.running
            if free > 0 and now < held.until:
                held.running += 1
                self._note_demand(partner, service, held.running + 1, now)
                return GrantPermit(partner, held)
            self._note_demand(partner, service, held.running + 1, now)
        return None

    async def run(self) -> None:
        """Ask for what is in demand, one ask at a time."""
        while True:
            await self.ask_next()
            await asyncio.sleep(ASK_INTERVAL_S)

    async def ask_next(self) -> bool:
        """Ask for the due grant that was asked for longest ago.

        :returns: whether there was one to ask for.
        """
        now = self._clock.now()
        self._demands = {
            pair: demand
            for pair, demand in self._demands.items()
            if now - demand.at < DEMAND_S
        }
        chosen = min(
            (pair for pair in self._demands if self._is_due(pair, now)),
            key=lambda pair: self._held[pair].asked_at,
            default=None,
        )
        if chosen is None:
            return False
        await self._ask(chosen, self._demands[chosen].wanted)
        return True

    def _is_due(self, pair: tuple[str, str], now: float) -> bool:
        held = self._held[pair]
        if now - held.asked_at < ASK_AGAIN_S:
            return False
        ends_soon = held.until - now < RENEW_BEFORE_S
        return ends_soon or self._demands[pair].wanted > held.count

    async def _ask(self, pair: tuple[str, str], wanted: int) -> None:
        partner, service = pair
        held = self._held[pair]
        sent_at = self._clock.now()
        held.asked_at = sent_at
        reply = await self._transport.call(
            partner,
            GrantAsk(service=service, wanted=wanted),
            ASK_TIMEOUT_S,
        )
        got = reply.unwrap() if isinstance(reply, Success) else None
        if isinstance(got, GrantReply):
            held.count = got.count
            # The receiver counts from its reply, which is later.
            held.until = sent_at + got.valid_s * SENDER_GRANT_SHARE

    def _note_demand(
        self,
        partner: str,
        service: str,
        wanted: int,
        now: float,
    ) -> None:
        known = self._demands.get((partner, service))
        if known is not None and now - known.at < DEMAND_S:
            wanted = max(wanted, known.wanted)
        self._demands[(partner, service)] = _Demand(wanted, now)
