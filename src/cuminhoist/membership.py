"""What this instance knows about other instances and about upstreams."""

import math
import secrets

import msgspec

from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Configuration
from .heartbeats import Heartbeat, PeerSummary
from .instance_list import PlatformList
from .rendezvous import ranked
from .settings import Instance, Target, Topology
from .types import DrainScope, Incarnation

#: A peer of the same cell that was silent this long does not run or has
#: no lease: the lease (3 s) plus a margin of 1 s.
TAKEOVER_S = 4.0

#: One partner is asked each second, so a partner is heard at least every
#: MAX_PARTNERS seconds; three lost turns in a row make it unusable.
MAX_PARTNERS = 8
PARTNERS_PER_DOMAIN = 2
PARTNER_INTERVAL_S = 1.0
PARTNER_SILENT_S = 24.0

#: Marks of an instance that is silent this long are dropped: the new
#: owner of the target makes its own observations.
MARK_LIFETIME_S = 30.0


#: Stands for an instance that no partner has told about.
_UNHEARD: tuple[PeerSummary | None, float] = (None, -math.inf)


class EntryStatus(msgspec.Struct, frozen=True):
    """What is known about one entry instance.

    :param silent_s: time since it was heard directly; None for never.
    """

    name: str
    domain: str
    incarnation: str
    epoch: int
    leaving: bool
    usable: bool
    version: int
    silent_s: float | None


class _Record(msgspec.Struct):
    state: Heartbeat
    heard_at: float


def cross_domain_partners(
    topology: Topology, name: str
) -> tuple[Instance, ...]:
    """Return the instances of other domains that an instance talks to.

    :param topology: the deployment.
    :param name: name of the instance.
    """
    own = topology.instance(name)
    by_domain: dict[str, dict[str, Instance]] = {}
    for entry in topology.entry_instances():
        if entry.domain != own.domain:
            by_domain.setdefault(entry.domain, {})[entry.name] = entry
    found: list[Instance] = []
    for turn in range(PARTNERS_PER_DOMAIN):
        for domain in ranked(name, by_domain):
            names = ranked(name, by_domain[domain])
            if turn < len(names):
                found.append(by_domain[domain][names[turn]])
    return tuple(found[:MAX_PARTNERS])


class Membership:
    """Joins all sources on instances and upstreams.

    :param topology: the deployment.
    :param name: name of this instance.
    :param clock: time source.
    :param in_force: the configuration in force, with the drains.
    """

    def __init__(
        self,
        topology: Topology,
        name: str,
        clock: Clock,
        in_force: ConfigInForce,
    ) -> None:
        self.incarnation = Incarnation(secrets.token_hex(6))
        self.leaving = False
        #: Grows whenever a source says something new about targets.
        self.revision = 0
        self.name = name
        self._topology = topology
        self._clock = clock
        self._in_force = in_force
        self._started_at = clock.now()
        self._entries: dict[str, Instance] = {
            entry.name: entry for entry in topology.entry_instances()
        }
        self._targets: dict[str, Target] = {
            target.name: target for target in topology.targets
        }
        self._cell = {
            entry.name for entry in topology.domain_entry_instances(name)
        }
        self._partners = {
            entry.name for entry in cross_domain_partners(topology, name)
        }
        self._records: dict[str, _Record] = {}
        self._briefs: dict[str, tuple[PeerSummary, float]] = {}
        self._platform = PlatformList()
        self._signals: set[str] = set()
        in_force.subscribe(self._on_change)

    @property
    def own_signals(self) -> tuple[str, ...]:
        """Targets that this instance itself saw leaving."""
        return tuple(sorted(self._signals))

    def record_heartbeat(self, sender: str, state: Heartbeat) -> None:
        """Record the state that another instance sent itself.

        :param sender: the instance.
        :param state: its state.
        """
        if sender in self._entries and sender != self.name:
            known = self._records.get(sender)
            self._records[sender] = _Record(state, self._clock.now())
            marks = known.state.leaving_targets if known else ()
            if marks != state.leaving_targets:
                self.revision += 1

    def record_peer_summaries(self, briefs: tuple[PeerSummary, ...]) -> None:
        """Record what a partner has heard about instances of its cell.

        :param briefs: what it has heard.
        """
        now = self._clock.now()
        for brief in briefs:
            known = self._briefs.get(brief.name)
            heard_at = now - brief.age_s
            if known is None or known[1] < heard_at:
                self._briefs[brief.name] = (brief, heard_at)

    def peer_summaries(self) -> tuple[PeerSummary, ...]:
        """Return what this instance heard directly about its cell."""
        now = self._clock.now()
        return tuple(
            PeerSummary(
                name,
                record.state.incarnation,
                record.state.epoch,
                record.state.leaving,
                now - record.heard_at,
            )
            for name, record in self._records.items()
            if name in self._cell
        )

    def last_heartbeat(self, name: str) -> Heartbeat | None:
        """Return the last state that an instance sent, if any.

        :param name: name of the instance.
        """
        record = self._records.get(name)
        return None if record is None else record.state

    def last_heartbeat_at(self, name: str) -> float | None:
        """Return when an instance was last heard directly, if ever.

        :param name: name of the instance.
        """
        record = self._records.get(name)
        return None if record is None else record.heard_at

    def replace_platform_list(self, listed: PlatformList) -> None:
        """Replace the platform's list.

        Only its leaving marks are used. It lags, so it is no evidence
        that an instance runs or does not run.

        :param listed: the list.
        """
        self._platform = listed
        self.revision += 1

    def mark_target_leaving(self, name: str) -> None:
        """Record that an upstream said itself that it is leaving.

        :param name: name of the target.
        """
        if name not in self._signals:
            self._signals.add(name)
            self.revision += 1

    def clear_target_leaving(self, name: str) -> None:
        """Record that an upstream answers without the leaving signal.

        :param name: name of the target.
        """
        if name in self._signals:
            self._signals.remove(name)
            self.revision += 1

    def is_target_leaving(self, name: str) -> bool:
        """Tell whether any source says that a target leaves.

        :param name: name of the target.
        """
        target = self._targets.get(name)
        if target is None or self._is_drained(target):
            return True
        if name in self._signals or name in self._platform.leaving:
            return True
        oldest = self._clock.now() - MARK_LIFETIME_S
        return any(
            name in record.state.leaving_targets
            for record in self._records.values()
            if record.heard_at >= oldest
        )

    def is_entry_usable(self, name: str) -> bool:
        """Tell whether callers may be sent to an entry instance.

        :param name: name of the instance.
        """
        entry = self._entries.get(name)
        if entry is None or self._is_drained(entry):
            return False
        if name in self._platform.leaving:
            return False
        if name == self.name:
            return not self.leaving
        return not (self._says_leaving(name) or self._is_silent(name))

    def is_leaving_or_silent(self, name: str) -> bool:
        """Tell whether an instance says that it stops, or is silent.

        :param name: name of the instance.
        """
        if name == self.name:
            return False
        return self._says_leaving(name) or self._is_silent(name)

    def view(self) -> tuple[EntryStatus, ...]:
        """Return what is known about each entry instance."""
        return tuple(self._view_of(entry) for entry in self._entries.values())

    def incarnation_and_epoch(self, name: str) -> tuple[str, int] | None:
        """Return the latest known incarnation and epoch of an instance.

        :param name: name of the instance.
        """
        record = self._records.get(name)
        brief, heard_at = self._briefs.get(name, _UNHEARD)
        if brief and (record is None or heard_at > record.heard_at):
            return brief.incarnation, brief.epoch
        if record is None:
            return None
        return record.state.incarnation, record.state.epoch

    def _on_change(self, _cfg: Configuration) -> None:
        self.revision += 1

    def _view_of(self, entry: Instance) -> EntryStatus:
        heard_at = self.last_heartbeat_at(entry.name)
        state = self.last_heartbeat(entry.name)
        incarnation, epoch = self.incarnation_and_epoch(entry.name) or ('', 0)
        return EntryStatus(
            name=entry.name,
            domain=entry.domain,
            incarnation=incarnation,
            epoch=epoch,
            leaving=self._says_leaving(entry.name),
            usable=self.is_entry_usable(entry.name),
            version=-1 if state is None else state.version,
            silent_s=None if heard_at is None else self._clock.now() - heard_at,
        )

    def _says_leaving(self, name: str) -> bool:
        record = self._records.get(name)
        brief, heard_at = self._briefs.get(name, _UNHEARD)
        if brief and (record is None or heard_at > record.heard_at):
            return brief.leaving
        return record is not None and record.state.leaving

    def _is_silent(self, name: str) -> bool:
        limit = PARTNER_SILENT_S
        if name in self._cell:
            limit = TAKEOVER_S
        elif name not in self._partners:
            return False
        record = self._records.get(name)
        since = self._started_at if record is None else record.heard_at
        return self._clock.now() - since > limit

    def _is_drained(self, part: Target | Instance) -> bool:
        cfg = self._in_force.current
        if cfg is None or not cfg.drains:
            return False
        own = (
            DrainScope.upstream
            if isinstance(part, Target)
            else DrainScope.entry
        )
        names = {
            own: part.name,
            DrainScope.domain: part.domain,
            DrainScope.region: self._topology.region_of(part.domain),
        }
        now = self._clock.wall()
        return any(
            names.get(drain.scope) == drain.name and drain.starts_at <= now
            for drain in cfg.drains
        )
