"""An entry instance: links, knowledge, requests."""

import asyncio
import random
import secrets
from collections.abc import Callable
from typing import Any

from returns.result import Success

from ..codec import Message
from ..gateway.pacing import LinkPacer
from ..gateway.placement_client import PlacementClient
from ..gateway.request_metrics import RequestMetrics
from ..gateway.request_proxy import RequestProxy
from ..gateway.target_connections import TargetConnections
from ..gateway.wire import WireFormat
from ..logging_setup import logger
from ..register.declared_state import DeclaredState
from ..register.messages import Learned
from ..steering.assignment import assign_targets
from ..steering.demand import Demand
from ..steering.dispatcher import Dispatcher
from ..steering.slot_lending import DispatchContext, usable_entries
from .background import BackgroundTasks
from .control_instance import Decode
from .entry_links import EntryLinks
from .instance_config import Address, InstanceConfig
from .lookups import nearest_entries
from .messages import (
    DecisionNotice,
    EntryEndpoint,
    Hello,
    Neighbours,
    Roster,
    TargetList,
    View,
)
from .region_dispatch import REGION_ROUND_TRIP_S
from .target_feed import TargetFeed, TargetSource

#: Without any list from a control instance for this long, an entry instance
#: reads the list itself, in seconds.
OWN_READ_S = 3.0
#: Part of the list's limit of calls that entry instances use together.
OWN_READ_PART = 0.3

_log = logger('entry')


class EntryInstance:
    """One entry instance.

    :param site: what the process knows of itself.
    :param source: reads the list of targets.
    :param decode: reads a configuration.
    :param wire: how requests and answers look.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        site: InstanceConfig,
        source: TargetSource,
        decode: Decode,
        wire: WireFormat,
        now: Callable[[], float],
    ) -> None:
        self._site = site
        self._decode = decode
        self._now = now
        self._declared: DeclaredState | None = None
        self.recorder = RequestMetrics()
        self.links = EntryLinks(
            site,
            Hello(
                name=site.name,
                incarnation=secrets.token_hex(6),
                address=site.peer_address,
                domain=site.domain,
                region=site.region,
                control=False,
                request_address=site.request_address,
            ),
            now,
        )
        self.placer = PlacementClient(self.links, Dispatcher(), now)
        self._upstreams = TargetConnections(
            now,
            LinkPacer(site.link_bytes_s, now),
        )
        self.passages = RequestProxy(
            wire,
            self._upstreams,
            self.placer,
            self.recorder,
            now,
            site.bounds.retry_budget_ratio,
            site.bounds.min_retry_budget,
        )
        self.feed = TargetFeed(source, self._rank, now, self._on_targets)
        self._region_entries = 1
        self._demand: tuple[Demand, ...] = ()
        self._roster: tuple[EntryEndpoint, ...] = ()
        self._background = BackgroundTasks()
        self.leaving = False

    @property
    def ready(self) -> bool:
        """Whether requests are taken."""
        known = self.passages.routing_state
        return (
            not self.leaving
            and known.routes is not None
            and bool(known.targets)
        )

    async def start(self) -> None:
        """Look for control instances."""
        links = self.links
        links.on_message = self._on_message
        links.on_dispatcher = self.placer.handle_dispatcher_loss
        links.running = self._running
        for coroutine in (links.run(), self.feed.run(), self._run_checks()):
            self._background.spawn(coroutine)

    def lookup(self, region: str, domain: str) -> list[Address]:
        """Return where a caller connects.

        :param region: region of the caller.
        :param domain: failure domain of the caller.
        """
        entries = [
            entry
            for entry in self._roster
            if not self.leaving or entry.name != self._site.name
        ]
        return nearest_entries(entries, region, domain)

    def start_leaving(self) -> None:
        """Tell the control instances that no more requests are wanted."""
        self.leaving = True
        self.links.ready = False
        self.links.send_readiness()

    async def stop(self) -> None:
        """End all tasks."""
        await self._background.stop()

    def _running(self) -> tuple[Any, ...]:
        return tuple(self.placer.running_attempts.values())

    def _rank(self) -> int:
        # Entry instances read the list only while no control instance
        # passes it on, and then so rarely that all of them together stay
        # within a part of its limit.
        pages = len(self.feed.entries) // 50 + 1
        view = self.links.view()
        entries = view.entries if view is not None else 8
        limit = OWN_READ_PART * self._site.list_calls_per_s
        pause_s = max(OWN_READ_S, entries * pages / max(limit, 1))
        return round(pause_s * random.uniform(1, 1.5) / 0.6)  # noqa: S311

    def _on_message(self, msg: Message) -> None:
        if isinstance(msg, Learned):
            self._on_declared(msg.state)
        elif isinstance(msg, TargetList):
            self.feed.adopt(msg)
        elif isinstance(msg, DecisionNotice):
            self.placer.handle_decision(msg.decision)
        else:
            self._on_fleet(msg)

    def _on_fleet(self, msg: Message) -> None:
        if isinstance(msg, View):
            self._on_view(msg)
        elif isinstance(msg, Neighbours):
            self._demand = msg.demand
        elif isinstance(msg, Roster):
            self._roster = msg.entries

    def _on_declared(self, state: DeclaredState) -> None:
        known = self._declared
        if known is not None and state.index <= known.index:
            return
        self._declared = state
        if state.body and (known is None or state.version > known.version):
            decoded = self._decode(state.body)
            if isinstance(decoded, Success):
                self.passages.routing_state.routes = decoded.unwrap()
            else:
                _log.bind(reason=decoded.failure()).error('state unreadable')
        _log.bind(
            index=state.index,
            version=state.version,
            drained=sorted(state.drained),
        ).info('state in force')
        self._update_targets()

    def _on_view(self, view: View) -> None:
        self.passages.routing_state.entry_count = max(view.entries, 1)
        self._region_entries = max(view.region_entries, 1)

    def _on_targets(self, feed: TargetFeed) -> None:
        known = self.passages.routing_state
        known.target_list_read_at = feed.read_at
        self._upstreams.close_unlisted(list(feed.entries))
        self._update_targets()

    def _update_targets(self) -> None:
        """Give the own dispatcher a share of the slots.

        It decides only while the region's dispatcher does not answer; the
        entry instances of the region then share its targets evenly.
        """
        drained = self._declared.drained if self._declared else frozenset()
        routes = self.passages.routing_state.routes
        services = routes.services if routes else {}
        terms = DispatchContext(
            self._site.region,
            self._site.regions,
            drained,
            REGION_ROUND_TRIP_S,
            {
                name: entry.cold_per_s / self._region_entries
                for name, entry in services.items()
            },
            {
                name: queue.run_times.hit_run_s
                for name, queue in self.placer.local_dispatcher.queues()
            },
        )
        usable = usable_entries(self.feed.entries, drained)
        self.passages.routing_state.targets = {
            entry.name: entry for entry in usable
        }
        assign_targets(
            self.placer.local_dispatcher,
            usable,
            self._demand,
            terms,
            self._now(),
            dispatcher_count=self._region_entries,
        )

    async def _run_checks(self) -> None:
        while True:
            if self.ready != self.links.ready:
                self.links.ready = self.ready
                self.links.send_readiness()
                _log.bind(ready=self.ready).info('readiness')
            self._record_beliefs()
            await asyncio.sleep(0.1)

    def _record_beliefs(self) -> None:
        known = self.passages.routing_state
        beliefs = self.recorder.state_gauge
        routes = known.routes
        beliefs.labels('config_version').set(routes.version if routes else 0)
        beliefs.labels('targets').set(len(known.targets))
        beliefs.labels('list_age_s').set(
            self._now() - known.target_list_read_at
        )
