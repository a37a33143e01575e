"""Builds the components of the entry role and runs their tasks."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import Self

import msgspec

from .admission import Admission
from .blocks import BlockMap
from .borrowing import Borrower, nearest_lenders
from .clock import Clock
from .config_in_force import ConfigInForce
from .entry import EntryDependencies, EntryService
from .explain import Explainer
from .grant_client import GrantClient
from .grants import GrantTable
from .hop_signing import HopSigner
from .instance_list import PlatformPoller
from .key_store import KeyStore
from .local_attempts import LocalAttempts
from .lookup import DrainPlan, Lookup
from .membership import Membership
from .membership_view import MembershipView
from .metrics import metrics_from_config
from .ownership import Ownership
from .peer_client import PeerClient
from .probes import HttpxProbeClient, Prober
from .rates import RateLimiter
from .region_links import LinkBudget
from .request_accounts import RequestAccounts
from .request_checks import RequestChecks
from .request_dispatcher import DispatchDependencies, RequestDispatcher
from .retries import RetryBudget
from .routing import Router
from .settings import Settings, Topology
from .shift import ObservedCapacity, ShiftLimiter
from .slot_table import SlotTable
from .target_client import HttpxTargetClient
from .tracing import Tracer
from .transport import Transport

#: Interval at which slots that became free by time alone are announced to
#: waiting requests.
FREED_SLOTS_POLL_S = 0.25


class InstanceContext(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies that the entry and the control role share."""

    cfg: Settings
    topology: Topology
    clock: Clock
    transport: Transport
    in_force: ConfigInForce


class Clients(msgspec.Struct, frozen=True, kw_only=True):
    """Network clients of the entry role, replaced by fakes in tests.

    :param targets: sends requests to targets.
    :param peers: forwards requests to other instances.
    :param probes: sends health probes to targets.
    """

    targets: HttpxTargetClient
    peers: PeerClient
    probes: HttpxProbeClient


class EntryRole:
    """The components of the entry role of one instance.

    :param context: shared dependencies.
    :param membership: live and leaving instances and upstreams.
    :param clients: network clients; None for HTTP clients from the settings.
    """

    def __init__(
        self,
        context: InstanceContext,
        membership: Membership,
        clients: Clients | None = None,
    ) -> None:
        self._context = context
        self.membership = membership
        cfg, topology, clock = context.cfg, context.topology, context.clock
        self.region = topology.region_of(cfg.domain)
        self.slot_table = SlotTable(topology, membership, clock)
        self.key_store = KeyStore(membership, clock)
        self.ownership = Ownership(
            topology,
            membership,
            context.transport,
            clock,
            self.slot_table,
            self.key_store.current_epoch,
        )
        self.slot_table.attach_ownership(self.ownership)
        self.ownership.set_version_source(lambda: context.in_force.version)
        self.accounts = RequestAccounts(
            clock,
            topology,
            context.in_force,
            cfg.name,
            membership.incarnation,
        )
        self.hop_signer = HopSigner(cfg.cluster_key, cfg.name, clock)
        self.lookup = self._build_lookup()
        self.tracer = Tracer.from_config(cfg.traces_file, cfg.name)
        self._metrics = metrics_from_config(cfg.statsd)
        clients = clients or Clients(
            targets=HttpxTargetClient(clock),
            peers=PeerClient(self.hop_signer, clock),
            probes=HttpxProbeClient(cfg.probe_path),
        )
        self._target_client = clients.targets
        self._peer_client = clients.peers
        self._probe_client = clients.probes
        self._rates = RateLimiter(
            clock,
            context.in_force,
            len(topology.entry_instances()),
        )
        self.grant_client = GrantClient.from_topology(
            topology,
            cfg.name,
            clock,
            context.transport,
        )
        deps = self._build_dependencies()
        self.service = EntryService(deps)
        self.explainer = Explainer(deps, deps.router)

    @classmethod
    def from_context(cls, context: InstanceContext) -> Self:
        """Build the entry role with a new membership.

        :param context: shared dependencies.
        """
        membership = Membership(
            context.topology,
            context.cfg.name,
            context.clock,
            context.in_force,
        )
        return cls(context, membership)

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what starts the long-lived tasks, by their names."""
        context = self._context
        borrower = Borrower(
            self._rates,
            context.transport,
            context.clock,
            nearest_lenders(context.topology, context.cfg.name),
            self.membership.incarnation,
        )
        prober = Prober(
            self.slot_table,
            self.ownership,
            self.membership,
            self._probe_client,
            context.clock,
        )
        poller = PlatformPoller(
            context.topology.platform_url,
            self.membership.replace_platform_list,
        )
        return {
            'ownership': self.ownership.run,
            'partner heartbeats': self.ownership.run_partner_heartbeats,
            'grants': self.grant_client.run,
            'borrowing': borrower.run,
            'probes': prober.run,
            'platform list': poller.run,
            'freed slots': self._poll_freed_slots,
        }

    async def close(self) -> None:
        """Close all connections."""
        await self._target_client.close()
        await self._peer_client.close()
        await self._probe_client.close()
        self._metrics.close()
        self.tracer.close()

    async def _poll_freed_slots(self) -> None:
        while True:
            await asyncio.sleep(FREED_SLOTS_POLL_S)
            self.slot_table.notify_freed_slots()

    def _build_lookup(self) -> Lookup:
        context = self._context
        return Lookup(
            context.topology,
            context.topology.instance(context.cfg.name),
            BlockMap.from_blocks(context.topology.blocks),
            MembershipView(self.membership, self.key_store),
            DrainPlan(context.in_force, context.clock),
            context.cfg.lookup_lifetime_s,
        )

    def _build_dependencies(self) -> EntryDependencies:
        context = self._context
        topology, clock = context.topology, context.clock
        capacity = ObservedCapacity(topology, self.region)
        region_entry_count = sum(
            topology.region_of(entry.domain) == self.region
            for entry in topology.entry_instances()
        )
        shift = ShiftLimiter(
            clock, context.in_force, capacity, max(region_entry_count, 1)
        )
        admission = Admission(
            clock,
            self.slot_table,
            self._rates,
            shift,
            self.region,
            self.tracer,
        )
        self._register_targets()
        local = LocalAttempts(
            self._target_client,
            self.membership,
            capacity,
            clock,
            self.tracer,
        )
        router = Router(
            topology,
            self.membership,
            self.slot_table,
            admission,
            self.grant_client,
            clock,
        )
        own = topology.instance(context.cfg.name)
        return EntryDependencies(
            topology=topology,
            own=own,
            clock=clock,
            membership=self.membership,
            checks=RequestChecks(topology, context.in_force, clock),
            lookup=self.lookup,
            rates=self._rates,
            admission=admission,
            local=local,
            dispatcher=RequestDispatcher(
                DispatchDependencies(
                    own=own,
                    router=router,
                    admission=admission,
                    local=local,
                    peers=self._peer_client,
                    budget=RetryBudget(secrets.randbits(32)),
                    clock=clock,
                    tracer=self.tracer,
                ),
            ),
            keys=self.key_store,
            grants=GrantTable(
                topology,
                self.membership,
                self.slot_table,
                context.in_force,
                clock,
                context.transport,
            ),
            links=LinkBudget(topology, self.region, clock),
            accounts=self.accounts,
            slots=self.slot_table,
            router=router,
            tracer=self.tracer,
            metrics=self._metrics,
        )

    def _register_targets(self) -> None:
        for target in self._context.topology.targets:
            if target.domain == self._context.cfg.domain:
                self._target_client.register_target(
                    msgspec.structs.replace(
                        target,
                        connections=self.slot_table.connection_share(
                            target.name
                        ),
                    ),
                )
