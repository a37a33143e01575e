"""Delivery of the configuration from control to every instance."""

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
from .watchclient import CONFIRMED_PAUSE_S, ISOLATED_AFTER_S, WatchClient

#: Up to this many instances, polls are short.
SMALL_INSTANCES = 100
#: A poll at a lost parent ends after 1.1 s, so that the children have a
#: change within the 2 s that the current size requires.
SMALL_HOLD_S = 0.5
#: Pause between looks at the own log while nothing is in force.
EMPTY_PAUSE_S = 0.1


class ConfigDeliveryOptions(msgspec.Struct, frozen=True):
    """How the configuration is delivered.

    :param hold_s: how long a parent holds a poll without news.
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
        is_small = len(topology.instances) <= SMALL_INSTANCES
        return cls(SMALL_HOLD_S if is_small else POLL_HOLD_S, live)


class ConfigDelivery:
    """Keeps the configuration of an instance current.

    :param own: name of the instance.
    :param topology: the deployment.
    :param in_force: configuration of this instance.
    :param transport: carries polls both ways.
    :param clock: source of time.
    :param log: the own control replica, None without that role.
    :param options: how to deliver.
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
        self._known: tuple[frozenset[str], tuple[str, ...]] | None = None
        self.store = ConfigStore(in_force)
        self.freshness = Freshness(clock, self._confirmed_age)
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
        """Keep the configuration current until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.client.run())
            if self._log is not None:
                group.create_task(self._follow_log(self._log))

    def currency(self) -> Currency:
        """Return what is known about the configuration in force."""
        return self.freshness.currency(self._in_force.version)

    def _parents(self) -> tuple[str, ...]:
        live = self._live()
        if self._known is None or self._known[0] != live:
            self._known = (live, self._tree.parents(self._own, live))
        return self._known[1]

    def _confirmed_age(self) -> float | None:
        if self._log is None:
            return None
        committed = self._log.committed_config()
        # An age says nothing about a version that is not in force here.
        if committed is None or committed.version > self._in_force.version:
            return None
        return self._log.confirmed_age_s()

    def _on_commit(self, config: Configuration) -> None:
        age = None if self._log is None else self._log.confirmed_age_s()
        is_fresh = age is not None and age < FRESH_S
        if is_fresh or self._in_force.current is not None:
            self.store.apply_committed(config)

    async def _follow_log(self, log: ControlLog) -> None:
        # After a start, what the disk holds may be old: it comes into force
        # once it is confirmed, or as the state of an isolated instance.
        started = self._clock.now()
        while True:
            committed = log.committed_config()
            if committed is not None:
                self._on_commit(committed)
                waited = self._clock.now() - started
                is_late = waited >= ISOLATED_AFTER_S + 1
                if is_late and self._in_force.current is None:
                    self.store.apply_committed(committed)
                    self.freshness.mark_isolated()
            is_empty = self._in_force.current is None
            await asyncio.sleep(
                EMPTY_PAUSE_S if is_empty else CONFIRMED_PAUSE_S,
            )
