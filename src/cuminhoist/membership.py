"""Combines the sources on the state of entry instances and targets.

The sources are heartbeats, summaries of heartbeats from partners in other
domains, the platform's list, the draining header of targets, and the drains
of the configuration in force.
"""

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

#: A domain peer that has been silent this long does not run or has no
#: lease: the lease (3 s) plus a margin of 1 s.
TAKEOVER_S = 4.0

#: One partner is called each second, so that each partner sends a heartbeat
#: at least every MAX_PARTNERS seconds; three lost ones in a row make a
#: partner unusable.
MAX_PARTNERS = 8
PARTNERS_PER_DOMAIN = 2
PARTNER_INTERVAL_S = 1.0
PARTNER_SILENT_S = 24.0

#: Leaving marks of an instance that has been silent this long don't count:
#: the new owner of the target observes it itself.
MARK_LIFETIME_S = 30.0


#: Used for an instance of which no partner has sent a summary.
_NO_SUMMARY: tuple[PeerSummary | None, float] = (None, -math.inf)


class EntryStatus(msgspec.Struct, frozen=True):
    """State of one entry instance as known to this instance.

    :param epoch: latest known epoch of its key tickets.
    :param leaving: whether it reports a planned stop.
    :param usable: whether callers may be sent to it.
    :param version: version of the configuration in force there; -1 for
        unknown.
    :param silent_s: seconds since its last heartbeat; None for none yet.
    """

    name: str
    domain: str
    incarnation: str
    epoch: int
    leaving: bool
    usable: bool
    version: int
    silent_s: float | None


class _HeartbeatRecord(msgspec.Struct):
    heartbeat: Heartbeat
    heartbeat_at: float


def cross_domain_partners(
    topology: Topology, name: str
) -> tuple[Instance, ...]:
    """Return the partners of an instance in other failure domains.

    An instance exchanges heartbeats with its partners. Each other domain has
    at most ``PARTNERS_PER_DOMAIN`` of them.

    :param topology: the deployment.
    :param name: name of the instance.
    """
    own = topology.instance(name)
    by_domain: dict[str, dict[str, Instance]] = {}
    for entry in topology.entry_instances():
        if entry.domain != own.domain:
            by_domain.setdefault(entry.domain, {})[entry.name] = entry
    partners: list[Instance] = []
    for rank in range(PARTNERS_PER_DOMAIN):
        for domain in ranked(name, by_domain):
            names = ranked(name, by_domain[domain])
            if rank < len(names):
                partners.append(by_domain[domain][names[rank]])
    return tuple(partners[:MAX_PARTNERS])


class Membership:
    """Combines all sources on entry instances and targets.

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
        #: Incremented whenever a source has changed its data on targets.
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
        self._domain_entries = {
            entry.name for entry in topology.domain_entry_instances(name)
        }
        self._partners = {
            entry.name for entry in cross_domain_partners(topology, name)
        }
        self._records: dict[str, _HeartbeatRecord] = {}
        self._summaries: dict[str, tuple[PeerSummary, float]] = {}
        self._platform = PlatformList()
        self._own_leaving_targets: set[str] = set()
        in_force.subscribe(self._on_change)

    @property
    def own_leaving_targets(self) -> tuple[str, ...]:
        """Targets that sent this instance the leaving signal."""
        return tuple(sorted(self._own_leaving_targets))

    def record_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Record the heartbeat of another instance.

        :param sender: name of the instance.
        :param heartbeat: its heartbeat.
        """
        if sender in self._entries and sender != self.name:
            previous = self._records.get(sender)
            self._records[sender] = _HeartbeatRecord(
                heartbeat, self._clock.now()
            )
            marks = previous.heartbeat.leaving_targets if previous else ()
            if marks != heartbeat.leaving_targets:
                self.revision += 1

    def record_peer_summaries(self, summaries: tuple[PeerSummary, ...]) -> None:
        """Record a partner's summaries of its domain peers.

        An older summary than the recorded one is ignored.

        :param summaries: summaries of the heartbeats that it has received.
        """
        now = self._clock.now()
        for summary in summaries:
            recorded = self._summaries.get(summary.name)
            heartbeat_at = now - summary.age_s
            if recorded is None or recorded[1] < heartbeat_at:
                self._summaries[summary.name] = (summary, heartbeat_at)

    def peer_summaries(self) -> tuple[PeerSummary, ...]:
        """Return summaries of the heartbeats of the domain peers."""
        now = self._clock.now()
        return tuple(
            PeerSummary(
                name,
                record.heartbeat.incarnation,
                record.heartbeat.epoch,
                record.heartbeat.leaving,
                now - record.heartbeat_at,
            )
            for name, record in self._records.items()
            if name in self._domain_entries
        )

    def last_heartbeat(self, name: str) -> Heartbeat | None:
        """Return the last heartbeat of an instance, if any.

        :param name: name of the instance.
        """
        record = self._records.get(name)
        return None if record is None else record.heartbeat

    def last_heartbeat_at(self, name: str) -> float | None:
        """Return the monotonic time of an instance's last heartbeat, if any.

        :param name: name of the instance.
        """
        record = self._records.get(name)
        return None if record is None else record.heartbeat_at

    def replace_platform_list(self, listed: PlatformList) -> None:
        """Replace the platform's list of instances.

        Only its leaving marks are used. The list lags behind, so it is no
        evidence that an instance runs or does not run.

        :param listed: the list.
        """
        self._platform = listed
        self.revision += 1

    def mark_target_leaving(self, name: str) -> None:
        """Record that a target sent the leaving signal.

        :param name: name of the target.
        """
        if name not in self._own_leaving_targets:
            self._own_leaving_targets.add(name)
            self.revision += 1

    def clear_target_leaving(self, name: str) -> None:
        """Record that a target answered without the leaving signal.

        :param name: name of the target.
        """
        if name in self._own_leaving_targets:
            self._own_leaving_targets.remove(name)
            self.revision += 1

    def is_target_leaving(self, name: str) -> bool:
        """Return whether any source reports that a target is leaving.

        :param name: name of the target.
        """
        target = self._targets.get(name)
        if target is None or self._is_drained(target):
            return True
        if name in self._own_leaving_targets or name in self._platform.leaving:
            return True
        oldest_at = self._clock.now() - MARK_LIFETIME_S
        return any(
            name in record.heartbeat.leaving_targets
            for record in self._records.values()
            if record.heartbeat_at >= oldest_at
        )

    def is_entry_usable(self, name: str) -> bool:
        """Return whether callers may be sent to an entry instance.

        :param name: name of the instance.
        """
        entry = self._entries.get(name)
        if entry is None or self._is_drained(entry):
            return False
        if name in self._platform.leaving:
            return False
        if name == self.name:
            return not self.leaving
        return not (self._reports_leaving(name) or self._is_silent(name))

    def is_leaving_or_silent(self, name: str) -> bool:
        """Return whether an instance reports a planned stop or is silent.

        :param name: name of the instance.
        """
        if name == self.name:
            return False
        return self._reports_leaving(name) or self._is_silent(name)

    def entry_statuses(self) -> tuple[EntryStatus, ...]:
        """Return the known state of each entry instance."""
        return tuple(self._status_of(entry) for entry in self._entries.values())

    def incarnation_and_epoch(self, name: str) -> tuple[str, int] | None:
        """Return the latest known incarnation and epoch of an instance.

        :param name: name of the instance.
        """
        record = self._records.get(name)
        summary, heartbeat_at = self._summaries.get(name, _NO_SUMMARY)
        if summary and (record is None or heartbeat_at > record.heartbeat_at):
            return summary.incarnation, summary.epoch
        if record is None:
            return None
        return record.heartbeat.incarnation, record.heartbeat.epoch

    def _on_change(self, _cfg: Configuration) -> None:
        self.revision += 1

    def _status_of(self, entry: Instance) -> EntryStatus:
        heartbeat_at = self.last_heartbeat_at(entry.name)
        heartbeat = self.last_heartbeat(entry.name)
        incarnation, epoch = self.incarnation_and_epoch(entry.name) or ('', 0)
        return EntryStatus(
            name=entry.name,
            domain=entry.domain,
            incarnation=incarnation,
            epoch=epoch,
            leaving=self._reports_leaving(entry.name),
            usable=self.is_entry_usable(entry.name),
            version=-1 if heartbeat is None else heartbeat.version,
            silent_s=(
                None
                if heartbeat_at is None
                else self._clock.now() - heartbeat_at
            ),
        )

    def _reports_leaving(self, name: str) -> bool:
        record = self._records.get(name)
        summary, heartbeat_at = self._summaries.get(name, _NO_SUMMARY)
        if summary and (record is None or heartbeat_at > record.heartbeat_at):
            return summary.leaving
        return record is not None and record.heartbeat.leaving

    def _is_silent(self, name: str) -> bool:
        limit_s = PARTNER_SILENT_S
        if name in self._domain_entries:
            limit_s = TAKEOVER_S
        elif name not in self._partners:
            # Exchanges no heartbeats with this instance.
            return False
        record = self._records.get(name)
        since = self._started_at if record is None else record.heartbeat_at
        return self._clock.now() - since > limit_s

    def _is_drained(self, item: Target | Instance) -> bool:
        cfg = self._in_force.current
        if cfg is None or not cfg.drains:
            return False
        item_scope = (
            DrainScope.upstream
            if isinstance(item, Target)
            else DrainScope.entry
        )
        names = {
            item_scope: item.name,
            DrainScope.domain: item.domain,
            DrainScope.region: self._topology.region_of(item.domain),
        }
        now = self._clock.wall()
        return any(
            names.get(drain.scope) == drain.name and drain.starts_at <= now
            for drain in cfg.drains
        )
