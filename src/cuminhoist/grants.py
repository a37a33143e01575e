"""Grants: how many requests other failure domains may send to this one.

An instance that lacks slots asks instances of other domains for a grant of
concurrent requests. The sum of the grants stays within the receiver's unused
slots, and the grants to a region grow with each window at most by the shift
cap.
"""

import msgspec

from .clock import Clock
from .codec import Message, register_message
from .config_in_force import ConfigInForce
from .config_model import ShiftCap
from .membership import Membership
from .settings import Topology
from .slots import SlotSource
from .transport import ErrorReply, Transport
from .types import ServiceName

GRANT_VALID_S = 2.0
#: Requests are still admitted for this long after a grant has ended, since
#: they may have been sent shortly before.
ARRIVAL_GRACE_S = 0.25


@register_message
class GrantAsk(Message, frozen=True):
    """Request for a grant to send requests of a service to the receiver.

    :param wanted: number of concurrent requests.
    """

    service: str
    wanted: int


@register_message
class GrantReply(Message, frozen=True):
    """Number of concurrent requests that the receiver admits.

    :param count: the number; it replaces that of any earlier grant.
    :param valid_s: seconds from the time at which the receiver replied.
    """

    count: int
    valid_s: float


class _IssuedGrant(msgspec.Struct):
    """A grant to another instance.

    :param region: region of that instance.
    :param count: concurrent requests that it may send.
    :param valid_until: monotonic time of the end.
    :param running: its requests that run here.
    """

    region: str
    count: int
    valid_until: float
    running: int = 0

    @property
    def slots_needed(self) -> int:
        """Slots that the grant allows or that its requests still use."""
        return max(self.count, self.running)


class _WindowPeaks(msgspec.Struct):
    """Highest sums of grants to a region, in this and the previous window."""

    window: int = -1
    peak: int = 0
    last_peak: int = 0

    def begin_window(self, window: int) -> None:
        """Start a window unless it has started; older windows do not count.

        :param window: number of the window.
        """
        if window != self.window:
            is_next = window == self.window + 1
            self.last_peak = self.peak if is_next else 0
            self.peak = 0
            self.window = window


class GrantedRequest(msgspec.Struct):
    """A granted request that runs at the receiver; must be released."""

    grant: _IssuedGrant
    is_released: bool = False

    def release(self) -> None:
        """End the request; further calls do nothing."""
        if not self.is_released:
            self.is_released = True
            self.grant.running -= 1


class GrantTable:
    """The receiving side: issues grants and checks granted requests.

    :param topology: the deployment.
    :param membership: name of this instance, and whether it leaves.
    :param slots: slots of the own targets.
    :param in_force: configuration in force, with the shift caps.
    :param clock: time source.
    :param transport: receives the requests for grants.
    """

    def __init__(
        self,
        topology: Topology,
        membership: Membership,
        slots: SlotSource,
        in_force: ConfigInForce,
        clock: Clock,
        transport: Transport,
    ) -> None:
        self._topology = topology
        self._membership = membership
        self._slots = slots
        self._in_force = in_force
        self._clock = clock
        self._region = topology.region_of(
            topology.instance(membership.name).domain,
        )
        self._regions: dict[str, str] = {
            entry.name: topology.region_of(entry.domain)
            for entry in topology.entry_instances()
        }
        self._issued: dict[str, dict[str, _IssuedGrant]] = {}
        self._peaks: dict[tuple[str, str], _WindowPeaks] = {}
        transport.add_handler(GrantAsk, self._on_request)

    def issue(self, requester: str, service: str, wanted: int) -> int:
        """Issue a grant and return its number of concurrent requests.

        :param requester: name of the instance that asks.
        :param service: name of the service.
        :param wanted: number that it asks for.
        """
        now = self._clock.now()
        issued = self._issued.setdefault(service, {})
        self._drop_expired(issued, now)
        region = self._regions[requester]
        others = [grant for name, grant in issued.items() if name != requester]
        region_slots = sum(
            grant.slots_needed for grant in others if grant.region == region
        )
        peaks = self._begin_window(service, region, now)
        limit = peaks.last_peak + self._max_growth(service)
        count = max(
            0,
            min(
                wanted,
                limit - region_slots,
                self._unused_slots(service, issued)
                - sum(grant.slots_needed for grant in others),
            ),
        )
        if self._membership.leaving:
            count = 0
        peaks.peak = max(peaks.peak, region_slots + count)
        grant = issued.setdefault(requester, _IssuedGrant(region, 0, now))
        grant.count = count
        grant.valid_until = now + GRANT_VALID_S
        return count

    def try_admit(self, sender: str, service: str) -> GrantedRequest | None:
        """Admit a request of another domain under its grant, or return None.

        :param sender: name of the instance that sent it.
        :param service: name of the service.
        """
        grant = self._issued.get(service, {}).get(sender)
        if grant is None or grant.running >= grant.count:
            return None
        if self._clock.now() >= grant.valid_until + ARRIVAL_GRACE_S:
            return None
        if self._slots.free_slots(service) <= 0:
            return None
        grant.running += 1
        return GrantedRequest(grant)

    def granted_count(self, service: str) -> int:
        """Return the sum of the counts of the valid grants of a service.

        :param service: name of the service.
        """
        now = self._clock.now()
        return sum(
            grant.count
            for grant in self._issued.get(service, {}).values()
            if grant.valid_until > now
        )

    async def _on_request(self, sender: str, msg: Message) -> Message:
        if not isinstance(msg, GrantAsk) or sender not in self._regions:
            return ErrorReply(
                reason='expected a GrantAsk message from an entry instance'
            )
        if self._topology.service(msg.service) is None:
            return ErrorReply(reason='unknown service')
        count = self.issue(sender, msg.service, msg.wanted)
        return GrantReply(count=count, valid_s=GRANT_VALID_S)

    def _unused_slots(
        self, service: str, issued: dict[str, _IssuedGrant]
    ) -> int:
        """Return the slots that are not used by the own domain's requests.

        Slots of requests that run under a grant are included, since the
        grants count them.
        """
        running = sum(grant.running for grant in issued.values())
        return self._slots.free_slots(service) + running

    def _drop_expired(
        self, issued: dict[str, _IssuedGrant], now: float
    ) -> None:
        for name, grant in tuple(issued.items()):
            if grant.valid_until <= now:
                # Slots of requests that still run must not be granted
                # again.
                grant.count = grant.running
            if grant.valid_until + ARRIVAL_GRACE_S <= now and not grant.running:
                issued.pop(name)

    def _begin_window(
        self, service: str, region: str, now: float
    ) -> _WindowPeaks:
        peaks = self._peaks.setdefault((service, region), _WindowPeaks())
        peaks.begin_window(int(now / self._cap(service).window_s))
        return peaks

    def _cap(self, service: str) -> ShiftCap:
        cfg = self._in_force.current
        caps = () if cfg is None else cfg.allowances.shift_caps
        return next(
            (cap for cap in caps if cap.service == service),
            ShiftCap(service=ServiceName(service)),
        )

    def _max_growth(self, service: str) -> int:
        capacity = sum(
            target.slots
            for target in self._topology.targets
            if target.service == service
            and self._topology.region_of(target.domain) == self._region
        )
        region_instances = sum(
            region == self._region for region in self._regions.values()
        )
        share = capacity * self._cap(service).percent / 100 / region_instances
        return max(1, int(share))
