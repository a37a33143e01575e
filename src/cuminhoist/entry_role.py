"""Builds the parts of an entry instance and runs their tasks."""

import asyncio
import secrets
from collections.abc import Coroutine
from typing import Any, Self

import msgspec

from .accounting import Accounts
from .admission import Admission
from .blocks import BlockMap
from .borrowing import Borrower, lenders_of
from .clock import Clock
from .dispatch import Dispatcher, DispatchParts
from .entry import EntryParts, EntryService
from .explain import Explainer
from .forwarding import HttpxTargetClient
from .grant_client import GrantClient
from .grants import GrantTable
from .hops import HopSigner
from .inforce import ConfigInForce
from .keys import KeyStore
from .links import LinkBudget
from .localattempts import LocalAttempts
from .lookup import DrainPlan, Lookup
from .membership import Membership
from .metrics import metrics_from_config
from .ownership import Ownership
from .peers import PeerClient
from .instance_list import PlatformPoller
from .probes import HttpxProbeClient, Prober
from .rates import RateShares
from .request_checks import RequestChecks
from .retries import RetryBudget
from .routing import Router
from .settings import Settings, Topology
from .shift import ObservedCapacity, ShiftLimiter
from .targets import TargetTable
from .tracing import Tracer
from .transport import Transport
from .views import MembershipView

REFRESH_S = 0.25


class InstanceContext(msgspec.Struct, frozen=True, kw_only=True):
    """What both roles of an instance share."""

    cfg: Settings
    topology: Topology
    clock: Clock
    transport: Transport
    in_force: ConfigInForce


class Clients(msgspec.Struct, frozen=True, kw_only=True):
    """What carries requests and probes; tests give their own."""

    targets: HttpxTargetClient
    peers: PeerClient
    probes: HttpxProbeClient


class EntryRole:
    """All parts of the entry role.

    :param context: what both roles share.
    :param membership: live and leaving instances and upstreams.
    :param clients: carry requests and probes; None for the network.
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
        self.table = TargetTable(topology, membership, clock)
        self.keys = KeyStore(membership, clock)
        self.ownership = Ownership(
            topology,
            membership,
            context.transport,
            clock,
            self.table,
            self.keys.epoch,
        )
        self.table.bind(self.ownership)
        self.ownership.report_version(lambda: context.in_force.version)
        self.accounts = Accounts(
            clock,
            topology,
            context.in_force,
            cfg.name,
            membership.incarnation,
        )
        self.hops = HopSigner(cfg.cluster_key, cfg.name, clock)
        self.lookup = self._build_lookup()
        self.tracer = Tracer.from_config(cfg.traces_file, cfg.name)
        self._metrics = metrics_from_config(cfg.statsd)
        clients = clients or Clients(
            targets=HttpxTargetClient(clock),
            peers=PeerClient(self.hops, clock),
            probes=HttpxProbeClient(cfg.probe_path),
        )
        self._client = clients.targets
        self._peers = clients.peers
        self._probe_client = clients.probes
        self._rates = RateShares(
            clock,
            context.in_force,
            len(topology.entries()),
        )
        self.grant_client = GrantClient.from_topology(
            topology,
            cfg.name,
            clock,
            context.transport,
        )
        parts = self._build_parts()
        self.service = EntryService(parts)
        self.explainer = Explainer(parts, parts.router)

    @classmethod
    def from_context(cls, context: InstanceContext) -> Self:
        """Build the parts of an instance.

        :param context: what both roles share.
        """
        membership = Membership(
            context.topology,
            context.cfg.name,
            context.clock,
            context.in_force,
        )
        return cls(context, membership)

    def tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the long-lived tasks of the entry role."""
        context = self._context
        borrower = Borrower(
            self._rates,
            context.transport,
            context.clock,
            lenders_of(context.topology, context.cfg.name),
            self.membership.incarnation,
        )
        prober = Prober(
            self.table,
            self.ownership,
            self.membership,
            self._probe_client,
            context.clock,
        )
        poller = PlatformPoller(
            context.topology.platform_url,
            self.membership.apply_platform,
        )
        return (
            self.ownership.run(),
            self.ownership.run_partners(),
            self.grant_client.run(),
            borrower.run(),
            prober.run(),
            poller.run(),
            self._refresh(),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
        await self._peers.close()
        await self._probe_client.close()
        self._metrics.close()
        self.tracer.close()

    async def _refresh(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_S)
            self.table.refresh()

    def _build_lookup(self) -> Lookup:
        context = self._context
        return Lookup(
            context.topology,
            context.topology.instance(context.cfg.name),
            BlockMap.from_blocks(context.topology.blocks),
            MembershipView(self.membership, self.keys),
            DrainPlan(context.in_force, context.clock),
            context.cfg.lookup_lifetime_s,
        )

    def _build_parts(self) -> EntryParts:
        context = self._context
        topology, clock = context.topology, context.clock
        capacity = ObservedCapacity(topology, self.region)
        in_region = sum(
            topology.region_of(entry.domain) == self.region
            for entry in topology.entries()
        )
        shift = ShiftLimiter(
            clock, context.in_force, capacity, max(in_region, 1)
        )
        admission = Admission(
            clock,
            self.table,
            self._rates,
            shift,
            self.region,
            self.tracer,
        )
        self._limit_connections()
        local = LocalAttempts(
            self._client,
            self.membership,
            capacity,
            clock,
            self.tracer,
        )
        router = Router(
            topology,
            self.membership,
            self.table,
            admission,
            self.grant_client,
            clock,
        )
        own = topology.instance(context.cfg.name)
        return EntryParts(
            topology=topology,
            own=own,
            clock=clock,
            membership=self.membership,
            checks=RequestChecks(topology, context.in_force, clock),
            lookup=self.lookup,
            rates=self._rates,
            admission=admission,
            local=local,
            dispatcher=Dispatcher(
                DispatchParts(
                    own=own,
                    router=router,
                    admission=admission,
                    local=local,
                    peers=self._peers,
                    budget=RetryBudget(secrets.randbits(32)),
                    clock=clock,
                    tracer=self.tracer,
                ),
            ),
            keys=self.keys,
            grants=GrantTable(
                topology,
                self.membership,
                self.table,
                context.in_force,
                clock,
                context.transport,
            ),
            links=LinkBudget(topology, self.region, clock),
            accounts=self.accounts,
            slots=self.table,
            router=router,
            tracer=self.tracer,
            metrics=self._metrics,
        )

    def _limit_connections(self) -> None:
        for target in self._context.topology.targets:
            if target.domain == self._context.cfg.domain:
                self._client.address_of(
                    msgspec.structs.replace(
                        target,
                        connections=self.table.connection_share(target.name),
                    ),
                )
