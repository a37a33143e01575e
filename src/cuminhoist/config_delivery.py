"""Delivers the configuration from the control replicas to every instance.

An instance polls a parent in the delivery tree. A control replica applies
what its own control log commits, and polls only while it cannot confirm its
version itself. After a start, the configuration on disk may be out of date,
so it is applied once it is confirmed, or when no source confirms one in time.
"""

import asyncio
from collections.abc import Callable
from typing import Self

import msgspec

from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Configuration
from .control_log import ControlLog
from .deltas import ConfigStore
from .freshness import FRESH_S, Currency, Freshness
from .settings import Topology
from .transport import Transport
from .tree import DeliveryTree
from .watch import POLL_HOLD_S, WatchServer
from .watchclient import ISOLATED_AFTER_S, LOCAL_CHECK_INTERVAL_S, WatchClient

#: Deployments of at most this many instances use short polls.
SMALL_DEPLOYMENT_INSTANCES = 100
#: With this hold, a poll at a failed parent times out after 1.1 s, so its
#: children apply a change within the 2 s required of a small deployment.
SMALL_DEPLOYMENT_HOLD_S = 0.5
#: Interval of checks of the own control log before the first configuration.
EMPTY_CHECK_INTERVAL_S = 0.1


class ConfigDeliveryOptions(msgspec.Struct, frozen=True):
    """Options of the delivery.

    :param hold_s: longest time that a parent holds a poll without a change.
    :param live: returns the names of the live instances; all by default.
    """

    hold_s: float = POLL_HOLD_S
    live: Callable[[], frozenset[str]] | None = None

    @classmethod
    def from_topology(
        cls,
        topology: Topology,
        live: Callable[[], frozenset[str]] | None = None,
    ) -> Self:
        """Build the options for the size of a deployment.

        :param topology: the deployment.
        :param live: returns the names of the live instances; all by default.
        """
        is_small = len(topology.instances) <= SMALL_DEPLOYMENT_INSTANCES
        return cls(SMALL_DEPLOYMENT_HOLD_S if is_small else POLL_HOLD_S, live)


class ConfigDelivery:
    """Keeps the configuration of an instance up to date.

    :param own: name of the instance.
    :param topology: the deployment.
    :param in_force: configuration of this instance.
    :param transport: sends polls to parents and receives those of children.
    :param clock: source of time.
    :param control_log: log of the own control replica, None without that role.
    :param options: hold time of polls and the source of live instances.
    """

    def __init__(
        self,
        own: str,
        topology: Topology,
        in_force: ConfigInForce,
        transport: Transport,
        clock: Clock,
        control_log: ControlLog | None = None,
        options: ConfigDeliveryOptions = ConfigDeliveryOptions(),
    ) -> None:
        self._own = own
        self._in_force = in_force
        self._clock = clock
        self._log = control_log
        names = frozenset(entry.name for entry in topology.instances)
        self._live = options.live or (lambda: names)
        self._tree = DeliveryTree(topology)
        self._cached_parents: tuple[frozenset[str], tuple[str, ...]] | None = (
            None
        )
        self.store = ConfigStore(in_force)
        self.freshness = Freshness(clock, self._confirmed_age_s)
        self.server = WatchServer(
            self.store, self.freshness, clock, transport, options.hold_s
        )
        self.client = WatchClient(
            self.store,
            self.freshness,
            clock,
            transport,
            self._parents,
            self._tree.domain_peers(own),
            options.hold_s,
        )
        if control_log is not None:
            control_log.on_commit(self._on_commit)

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.client.run())
            if self._log is not None:
                group.create_task(self._follow_log(self._log))

    def currency(self) -> Currency:
        """Return how current the configuration in force is known to be."""
        return self.freshness.currency(self._in_force.version)

    def _parents(self) -> tuple[str, ...]:
        live = self._live()
        if self._cached_parents is None or self._cached_parents[0] != live:
            self._cached_parents = (live, self._tree.parents(self._own, live))
        return self._cached_parents[1]

    def _confirmed_age_s(self) -> float | None:
        if self._log is None:
            return None
        committed = self._log.committed_config()
        # The age belongs to the committed version, which must be in force here.
        if committed is None or committed.version > self._in_force.version:
            return None
        return self._log.confirmed_age_s()

    def _on_commit(self, config: Configuration) -> None:
        age_s = None if self._log is None else self._log.confirmed_age_s()
        is_fresh = age_s is not None and age_s < FRESH_S
        if is_fresh or self._in_force.current is not None:
            self.store.apply_committed(config)

    async def _follow_log(self, log: ControlLog) -> None:
        # After a start, the configuration on disk may be out of date. It is
        # applied once it is confirmed. Without a confirmation, it is applied as
        # isolated, one second after the domain peers are first queried.
        started_at = self._clock.now()
        while True:
            committed = log.committed_config()
            if committed is not None:
                self._on_commit(committed)
                waited_s = self._clock.now() - started_at
                is_overdue = waited_s >= ISOLATED_AFTER_S + 1
                if is_overdue and self._in_force.current is None:
                    self.store.apply_committed(committed)
                    self.freshness.mark_isolated()
            is_empty = self._in_force.current is None
            await asyncio.sleep(
                EMPTY_CHECK_INTERVAL_S if is_empty else LOCAL_CHECK_INTERVAL_S,
            )
