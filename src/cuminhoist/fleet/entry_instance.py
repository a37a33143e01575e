"""An entry instance: accepts requests and sends them to targets.

Placement requests go to the dispatcher of the region. While the dispatcher
does not answer, the entry instance decides itself with an even share of the
region's slots.
"""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
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
from ..steering.leaving_targets import LeavingTarget
from ..steering.slot_lending import DispatchContext, usable_entries
from .background import BackgroundTasks, UpdateLimiter
from .entry_allowances import EntryAllowances
from .entry_links import EntryLinks
from .fleet_view import apply_changes
from .instance_config import Address, InstanceConfig
from .link_meter import PrometheusMeter
from .lookups import nearest_entries, relay_peers, turn
from .messages import (
    AllowanceShares,
    DecisionNotice,
    EntryEndpoint,
    FleetSummary,
    Hello,
    LeavingNotice,
    LimitsNotice,
    PoisonNotice,
    Roster,
    TargetList,
    View,
)
from .operator_orders import DecodeConfiguration
from .subscription import Progress
from .target_feed import (
    FIRST_LIST_S,
    TargetFeed,
    TargetSource,
    entry_read_rank,
)

#: Number of entry instances that is assumed without a view.
ASSUMED_ENTRY_COUNT = 8

#: Tasks without which an instance does not follow the declared state. The
#: list of targets is only read here while no control instance sends it.
_NEEDED_TASKS = ('links', 'checks')

_log = logger('entry')


class EntryInstance:
    """Connects the links, the target feed, the placement and the proxy.

    :param config: configuration of this instance.
    :param source: reads the list of targets.
    :param decode: decodes and validates a configuration.
    :param wire: format of requests and answers.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        config: InstanceConfig,
        source: TargetSource,
        decode: DecodeConfiguration,
        wire: WireFormat,
        now: Callable[[], float],
    ) -> None:
        self._config = config
        self._decode = decode
        self._now = now
        self._declared: DeclaredState | None = None
        #: Version of the configuration that was decoded last.
        self._decoded_version: int | None = None
        self.metrics = RequestMetrics()
        meter = PrometheusMeter(
            config.domain, config.region, self.metrics.registry
        )
        self._background = BackgroundTasks.from_registry(self.metrics.registry)
        self._reports = meter.run_reports
        self.links = EntryLinks(
            config,
            Hello(
                name=config.name,
                incarnation=secrets.token_hex(6),
                address=config.peer_address,
                domain=config.domain,
                region=config.region,
                control=False,
                request_address=config.request_address,
            ),
            now,
            meter,
        )
        self.placement_client = PlacementClient.from_shift_limit(
            self.links,
            config.limits.max_shift_fraction,
            now,
            config.domain if config.limits.prefers_own_domain else '',
            learns_limits=config.limits.learns_limits,
        )
        self._target_connections = TargetConnections(
            now,
            LinkPacer(config.link_bytes_per_s, now),
            config.target_source_host,
            config.descriptor_limits.targets,
        )
        self.request_proxy = RequestProxy(
            wire,
            self._target_connections,
            self.placement_client,
            self.metrics,
            now,
            config.limits.retry_budget_ratio,
            config.limits.min_retry_budget,
        )
        self.request_proxy.routing_state.trusts_keys = self._trusts_keys
        self.request_proxy.on_target_leaving = self._on_target_leaving
        self.feed = TargetFeed(
            source,
            self._read_rank,
            now,
            self._on_target_list,
            config.limits,
        )
        self.feed.report_rejected(self.metrics.registry)
        self.links.leaving_notice = self.feed.leaving_notice
        local = self.placement_client.local_dispatcher
        local.first_list_until = now() + FIRST_LIST_S
        self.links.limits = local.limits.in_force
        self._allowances = EntryAllowances.from_config(config, local.allowances)
        self.request_proxy.relay.find_peers = lambda regions: relay_peers(
            self._roster.values(), config, regions
        )
        crash_detector = self.request_proxy.crash_detector
        self.links.target_ends = crash_detector.poison_requests.in_force
        crash_detector.on_ends = self.links.report_target_ends
        crash_detector.trial_rank = lambda content: turn(
            content, config.name, self._roster
        )
        self._target_update = UpdateLimiter(self._update_targets, now)
        self._region_entry_count = 1
        self._demand: tuple[Demand, ...] = ()
        self._round_trips_s: dict[str, float] = {}
        self._roster: dict[str, EntryEndpoint] = {}
        self.leaving = False

    @property
    def ready(self) -> bool:
        """Whether requests are accepted.

        Needs routes, at least one target and the tasks that follow the fleet,
        and ends with the drain.
        """
        routing = self.request_proxy.routing_state
        return (
            not self.leaving
            and not self._background.any_down(_NEEDED_TASKS)
            and routing.routes is not None
            and bool(routing.targets)
        )

    async def start(self) -> None:
        """Start the links to control instances and the background tasks."""
        links = self.links
        links.on_message = self._on_message
        links.on_dispatcher_change = (
            self.placement_client.handle_dispatcher_loss
        )
        links.running_attempts = self._running_attempts
        links.unexpired_pauses = self.placement_client.unexpired_pauses
        links.progress = self._progress
        for name, factory in (
            ('links', links.run),
            ('target list', self.feed.run),
            ('checks', self._run_checks),
            ('reports', self._reports),
        ):
            self.supervise(name, factory)

    def supervise(
        self, name: str, factory: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a long-lived task of the process until the stop.

        :param name: name of the task in logs and metrics.
        :param factory: starts the task, again after an error.
        """
        self._background.supervise(name, factory)

    def lookup(self, region: str, domain: str) -> list[Address]:
        """Return the entry instances that a caller may connect to.

        :param region: region of the caller.
        :param domain: failure domain of the caller.
        """
        entries = [
            entry
            for entry in self._roster.values()
            if not self.leaving or entry.name != self._config.name
        ]
        if not entries and self.ready and self._config.request_address:
            # No roster has arrived since the start.
            return [self._config.request_address]
        return nearest_entries(entries, region, domain)

    def start_leaving(self) -> None:
        """Tell the control instances that this instance is no longer ready."""
        self.leaving = True
        self.links.ready = False
        self.links.send_readiness()

    def confirm_routes(self) -> None:
        """Find out whether the routes are known to be the newest ones."""
        self.request_proxy.routing_state.routes_confirmed = (
            self.links.is_newest(self._progress().state_index)
        )

    async def stop(self) -> None:
        """End all tasks."""
        await self._background.stop()

    def _running_attempts(self) -> tuple[Any, ...]:
        return tuple(self.placement_client.running_attempts.values())

    def _progress(self) -> Progress:
        index = -1 if self._declared is None else self._declared.index
        return Progress(index, self.feed.read_at)

    def _trusts_keys(self) -> bool:
        """Tell whether keys are served.

        A removed key could be served without end by an instance that is cut
        off from the control instances.
        """
        limits = self._config.limits
        if not limits.refuses_unconfirmed_keys:
            return True
        silence_s = self._now() - self.links.newest_confirmed_at()
        return silence_s <= limits.key_trust_s

    def _on_roster(self, msg: Roster) -> None:
        if msg.complete:
            self._roster = {}
        apply_changes(self._roster, msg.entries, msg.gone)

    def _read_rank(self) -> int:
        view = self.links.view()
        return entry_read_rank(
            len(self.feed.listed),
            view.entries if view is not None else ASSUMED_ENTRY_COUNT,
            self._config.list_calls_per_s,
        )

    def _on_message(self, msg: Message) -> None:
        if isinstance(msg, Learned):
            self._on_declared_state(msg.state)
        elif isinstance(msg, TargetList):
            self.feed.apply_list(msg)
        elif isinstance(msg, DecisionNotice):
            self.placement_client.handle_decision(msg.decision)
        else:
            self._on_fleet_state(msg)

    def _on_fleet_state(self, msg: Message) -> None:
        if isinstance(msg, View):
            self._on_view(msg)
        elif isinstance(msg, FleetSummary):
            self._demand = msg.demand
            self._round_trips_s = msg.round_trips_s
        elif isinstance(msg, Roster):
            self._on_roster(msg)
        elif isinstance(msg, AllowanceShares):
            self._allowances.local.apply_shares(msg.shares, self._now())
        else:
            self._on_target_notice(msg)

    def _on_target_notice(self, msg: Message) -> None:
        if isinstance(msg, LeavingNotice):
            self._apply_leaving(msg, source='control')
        elif isinstance(msg, LimitsNotice):
            self.placement_client.local_dispatcher.limits.apply(
                msg.limits, self._now()
            )
        elif isinstance(msg, PoisonNotice):
            self.request_proxy.crash_detector.poison_requests.record(
                msg.ends, self._now()
            )

    def _on_declared_state(self, state: DeclaredState) -> None:
        previous = self._declared
        if previous is not None and state.index <= previous.index:
            return
        # The body has the keys of all callers, and may be megabytes long.
        self._declared = state.without_body()
        if state.has_configuration and (
            self._decoded_version is None
            or state.version > self._decoded_version
        ):
            self._decoded_version = state.version
            decoded = self._decode(state.body)
            if isinstance(decoded, Success):
                routes = decoded.unwrap()
                self.request_proxy.routing_state.replace_routes(routes)
                self._allowances.replace_routes(routes, self._now())
            else:
                _log.bind(reason=decoded.failure()).error(
                    'configuration in the declared state is invalid'
                )
        _log.bind(
            index=state.index,
            version=state.shown_version,
            drained=sorted(state.drained),
        ).info('state in force')
        self._update_targets()

    def _on_view(self, view: View) -> None:
        self.request_proxy.routing_state.entry_count = max(view.entries, 1)
        # Between two checks, a refusal for a missing route or key could be
        # final although this view tells of a newer state.
        self.confirm_routes()
        self._region_entry_count = max(view.region_entries, 1)

    def _on_target_list(self, feed: TargetFeed) -> None:
        routing = self.request_proxy.routing_state
        routing.target_list_read_at = feed.read_at
        self._target_connections.close_unlisted(list(feed.entries))
        self._update_targets()

    def _on_target_leaving(
        self, announced: LeavingTarget, request_id: str
    ) -> None:
        if self.feed.is_stale():
            # The target may have started anew since the list was read.
            announced = LeavingTarget(announced.name)
        notice = LeavingNotice(targets=(announced,))
        if self._apply_leaving(notice, source='answer', id=request_id):
            self.links.report_leaving(notice)

    def _apply_leaving(self, notice: LeavingNotice, **context: str) -> bool:
        """Take leaving targets out at once; tell if any notice is new.

        :param notice: the targets.
        :param context: where the notice comes from, for the log line.
        """
        added = self.feed.add_leaving(notice.targets)
        if not added:
            return False
        self.metrics.leaving_notices.labels(context['source']).inc(len(added))
        _log.bind(targets=[one.name for one in added], **context).info(
            'targets leaving'
        )
        self._target_update.request()
        return True

    def _update_targets(self) -> None:
        """Give the local dispatcher this instance's share of the slots.

        The local dispatcher decides only while the region's dispatcher does
        not answer. The entry instances of the region then share the slots of
        its targets evenly.
        """
        drained = self._declared.drained if self._declared else frozenset()
        routes = self.request_proxy.routing_state.routes
        services = routes.services if routes else {}
        context = DispatchContext(
            self._config.region,
            self._config.regions,
            drained,
            self._round_trips_s,
            {
                name: entry.cold_per_s / self._region_entry_count
                for name, entry in services.items()
            },
            {
                name: queue.run_times.hit_run_s
                for name, queue in (
                    self.placement_client.local_dispatcher.queues()
                )
            },
            self.request_proxy.routing_state.homes_by_service,
        )
        local = self.placement_client.local_dispatcher
        local.limits.share(self._region_entry_count, self._now())
        local.limits.forget_unlisted(entry.name for entry in self.feed.listed)
        usable = usable_entries(self.feed.entries, drained)
        self.request_proxy.routing_state.targets = {
            entry.name: entry for entry in usable
        }
        assign_targets(
            local,
            self.feed.entries,
            self._demand,
            context,
            self._now(),
            dispatcher_count=self._region_entry_count,
        )

    async def _run_checks(self) -> None:
        while True:
            self.confirm_routes()
            self._allowances.keep(self.links.view(), self._now())
            if self.ready != self.links.ready:
                self.links.ready = self.ready
                self.links.send_readiness()
                _log.bind(ready=self.ready).info('readiness')
            if self.feed.stop_last_targets():
                self._update_targets()
            self._record_state()
            await asyncio.sleep(0.1)

    def _record_state(self) -> None:
        routing = self.request_proxy.routing_state
        gauge = self.metrics.state_gauge
        gauge.labels('config_version').set(routing.config_version)
        gauge.labels('targets').set(len(routing.targets))
        gauge.labels('list_age_s').set(
            self._now() - routing.target_list_read_at
        )
