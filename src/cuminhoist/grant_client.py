"""Requests grants from instances of other failure domains and uses them.

A grant is requested only while requests need one, from a few partners, with at
most one call in flight, so that control traffic does not grow with demand.
"""

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

#: Clocks of two instances run apart by at most 1%, so the sender ends a
#: grant that much earlier than the receiver.
SENDER_VALID_FRACTION = 0.99
REQUEST_INTERVAL_S = 0.25
REQUEST_TIMEOUT_S = 0.5
RENEW_BEFORE_S = 1.0
#: Shortest interval between requests to a partner for a service.
MIN_REPEAT_INTERVAL_S = 0.5
#: Demand counts for this long after it was last noted.
DEMAND_VALID_S = 1.0


class _ReceivedGrant(msgspec.Struct):
    """A grant at the sender.

    :param count: concurrent requests that it allows.
    :param valid_until: monotonic time of the end.
    :param running: requests that run under it.
    :param requested_at: monotonic time of the last request for it.
    """

    count: int = 0
    valid_until: float = 0
    running: int = 0
    requested_at: float = -math.inf


class GrantPermit(msgspec.Struct):
    """The right to send one request to an instance; must be released."""

    instance: str
    grant: _ReceivedGrant
    is_released: bool = False

    def release(self) -> None:
        """End the request; further calls do nothing."""
        if not self.is_released:
            self.is_released = True
            self.grant.running -= 1


class _Demand(msgspec.Struct):
    """Need for a grant.

    :param wanted: number of concurrent requests.
    :param noted_at: monotonic time at which it was last noted.
    """

    wanted: int
    noted_at: float


class GrantClient:
    """The sending side: requests grants on demand and counts their use.

    :param partners: names of the partners by failure domain.
    :param clock: time source.
    :param transport: carries the requests for grants.
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
        self._grants: dict[tuple[str, str], _ReceivedGrant] = {}
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
        :param transport: carries the requests for grants.
        """
        partners: dict[str, tuple[str, ...]] = {}
        for entry in cross_domain_partners(topology, name):
            names = partners.get(entry.domain, ())
            partners[entry.domain] = (*names, entry.name)
        return cls(partners, clock, transport)

    def try_acquire(self, domain: str, service: str) -> GrantPermit | None:
        """Return the right to send a request, or None; also notes the demand.

        :param domain: failure domain to send to.
        :param service: name of the service.
        """
        now = self._clock.now()
        for partner in self._partners.get(domain, ()):
            grant = self._grants.setdefault(
                (partner, service), _ReceivedGrant()
            )
            free = grant.count - grant.running
            if free > 0 and now < grant.valid_until:
                grant.running += 1
                self._note_demand(partner, service, grant.running + 1, now)
                return GrantPermit(partner, grant)
            self._note_demand(partner, service, grant.running + 1, now)
        return None

    async def run(self) -> None:
        """Request grants that are in demand, one at a time, until cancelled."""
        while True:
            await self.request_next()
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def request_next(self) -> bool:
        """Request the due grant that was requested longest ago.

        :returns: whether a grant was due.
        """
        now = self._clock.now()
        self._demands = {
            pair: demand
            for pair, demand in self._demands.items()
            if now - demand.noted_at < DEMAND_VALID_S
        }
        chosen = min(
            (pair for pair in self._demands if self._is_due(pair, now)),
            key=lambda pair: self._grants[pair].requested_at,
            default=None,
        )
        if chosen is None:
            return False
        await self._request_grant(chosen, self._demands[chosen].wanted)
        return True

    def _is_due(self, pair: tuple[str, str], now: float) -> bool:
        grant = self._grants[pair]
        if now - grant.requested_at < MIN_REPEAT_INTERVAL_S:
            return False
        ends_soon = grant.valid_until - now < RENEW_BEFORE_S
        return ends_soon or self._demands[pair].wanted > grant.count

    async def _request_grant(self, pair: tuple[str, str], wanted: int) -> None:
        partner, service = pair
        grant = self._grants[pair]
        sent_at = self._clock.now()
        grant.requested_at = sent_at
        reply = await self._transport.call(
            partner,
            GrantAsk(service=service, wanted=wanted),
            REQUEST_TIMEOUT_S,
        )
        received = reply.unwrap() if isinstance(reply, Success) else None
        if isinstance(received, GrantReply):
            grant.count = received.count
            # The receiver counts from its reply, which is later, so the
            # grant ends here first.
            grant.valid_until = (
                sent_at + received.valid_s * SENDER_VALID_FRACTION
            )

    def _note_demand(
        self,
        partner: str,
        service: str,
        wanted: int,
        now: float,
    ) -> None:
        demand = self._demands.get((partner, service))
        if demand is not None and now - demand.noted_at < DEMAND_VALID_S:
            wanted = max(wanted, demand.wanted)
        self._demands[(partner, service)] = _Demand(wanted, now)
