"""Grants: how much other failure domains may send to this one."""

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

GRANT_S = 2.0
#: A request that was sent at the end of a grant arrives a little later.
ARRIVAL_GRACE_S = 0.25


@register_message
class GrantAsk(Message, frozen=True):
    """Ask to send requests of a service to the receiver.

    :param wanted: how many requests at once.
    """

    service: str
    wanted: int


@register_message
class GrantReply(Message, frozen=True):
    """How many requests at once the receiver admits.

    :param count: the number; it replaces any earlier one.
    :param valid_s: how long, from the receiver's sending of the reply.
    """

    count: int
    valid_s: float


class _Given(msgspec.Struct):
    region: str
    count: int
    until: float
    running: int = 0

    @property
    def load(self) -> int:
        """Slots that the grant may use or still uses."""
        return max(self.count, self.running)


class _Growth(msgspec.Struct):
    """Highest sums of grants to a region, in this and the last window."""

    window: int = -1
    peak: int = 0
    last_peak: int = 0

    def begin(self, window: int) -> None:
        """Begin a window; sums of windows before the last do not count."""
        if window != self.window:
            follows = window == self.window + 1
            self.last_peak = self.peak if follows else 0
            self.peak = 0
            self.window = window


class GrantedRequest(msgspec.Struct):
    """A granted request that runs at the receiver; must be ended."""

    given: _Given
    is_released: bool = False

    def release(self) -> None:
        """Note that the request has ended; further calls do nothing."""
        if not self.is_released:
            self.is_released = True
            self.given.running -= 1


class GrantTable:
    """The receiving side: gives grants and checks arrivals.

    :param topology: the deployment.
    :param membership: name of this instance.
    :param slots: slots of the own targets.
    :param in_force: the configuration with the shift caps.
    :param clock: time source.
    :param transport: carries asks.
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
        self._given: dict[str, dict[str, _Given]] = {}
        self._growth: dict[tuple[str, str], _Growth] = {}
        transport.add_handler(GrantAsk, self._on_ask)

    def give(self, asker: str, service: str, wanted: int) -> int:
        """Return how many requests at once an instance may send.

        :param asker: name of the instance.
        :param service: name of the service.
        :param wanted: how many it wants.
        """
        now = self._clock.now()
        given = self._given.setdefault(service, {})
        self._forget_expired(given, now)
        region = self._regions[asker]
        others = [own for name, own in given.items() if name != asker]
        nearby = sum(own.load for own in others if own.region == region)
        growth = self._begin_window(service, region, now)
        limit = growth.last_peak + self._step(service)
        count = max(
            0,
            min(
                wanted,
                limit - nearby,
                self._unused(service, given) - sum(own.load for own in others),
            ),
        )
        if self._membership.leaving:
            count = 0
        growth.peak = max(growth.peak, nearby + count)
        entry = given.setdefault(asker, _Given(region, 0, now))
        entry.count = count
        entry.until = now + GRANT_S
        return count

    def try_admit(self, sender: str, service: str) -> GrantedRequest | None:
        """Check a request that another domain sent; None refuses it.

        :param sender: name of the instance that sent it.
        :param service: name of the service.
        """
        entry = self._given.get(service, {}).get(sender)
        if entry is None or entry.running >= entry.count:
            return None
        if self._clock.now() >= entry.until + ARRIVAL_GRACE_S:
            return None
        if self._slots.free_slots(service) <= 0:
            return None
        entry.running += 1
        return GrantedRequest(entry)

    def granted(self, service: str) -> int:
        """Return the sum of the valid grants of a service.

        :param service: name of the service.
        """
        now = self._clock.now()
        return sum(
            entry.count
            for entry in self._given.get(service, {}).values()
            if entry.until > now
        )

    async def _on_ask(self, sender: str, msg: Message) -> Message:
        if not isinstance(msg, GrantAsk) or sender not in self._regions:
            return ErrorReply(reason='not an ask of an entry instance')
        if self._topology.service(msg.service) is None:
            return ErrorReply(reason='unknown service')
        count = self.give(sender, msg.service, msg.wanted)
        return GrantReply(count=count, valid_s=GRANT_S)

    def _unused(self, service: str, given: dict[str, _Given]) -> int:
        """Return slots that own traffic does not use.

        Requests that run under a grant are counted in the grant.
        """
        running = sum(entry.running for entry in given.values())
        return self._slots.free_slots(service) + running

    def _forget_expired(self, given: dict[str, _Given], now: float) -> None:
        for name, entry in tuple(given.items()):
            if entry.until <= now:
                # Requests that still run use slots that must not be
                # granted again.
                entry.count = entry.running
            if entry.until + ARRIVAL_GRACE_S <= now and not entry.running:
                given.pop(name)

    def _begin_window(self, service: str, region: str, now: float) -> _Growth:
        growth = self._growth.setdefault((service, region), _Growth())
        growth.begin(int(now / self._cap(service).window_s))
        return growth

    def _cap(self, service: str) -> ShiftCap:
        cfg = self._in_force.current
        caps = () if cfg is None else cfg.allowances.shift_caps
        return next(
            (cap for cap in caps if cap.service == service),
            ShiftCap(service=ServiceName(service)),
        )

    def _step(self, service: str) -> int:
        capacity = sum(
            target.slots
            for target in self._topology.targets
            if target.service == service
            and self._topology.region_of(target.domain) == self._region
        )
        sharing = sum(
            region == self._region for region in self._regions.values()
        )
        share = capacity * self._cap(service).percent / 100 / sharing
        return max(1, int(share))
