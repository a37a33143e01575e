"""Builds one instance, starts it and stops it.

At a stop an instance first tells the other instances that it is leaving,
then goes on serving while clients may still have cached look-ups that name
it. Only then does it refuse new requests and close its listeners.
"""

import asyncio
import pathlib
import secrets

from litestar import Litestar

from .caller_api import explain_handler, lookup_handler, services_handler
from .caller_memory import CallerMemory, MemoryLimits
from .clock import SystemClock
from .codec import Codec
from .config_delivery import ConfigDelivery, ConfigDeliveryOptions
from .config_in_force import ConfigInForce
from .consensus import LogReplica
from .descriptor_limits import DescriptorLimits
from .entry_role import EntryRole, InstanceContext
from .fleet.background import BackgroundTasks
from .httperrors import exception_handlers
from .httpserver import DRAIN_TIMEOUT_S, HttpServer
from .listener_bounds import ListenerBounds
from .logging_setup import logger
from .metrics import metrics_from_config
from .openapi import openapi_config
from .operator_api import (
    OperatorApi,
    OperatorApiDependencies,
    operator_handlers,
)
from .replica_context import ReplicaOptions
from .settings import Role, Settings, Topology
from .storage import FileDisk
from .transport import PynngTransport

START_POLL_S = 0.01
STOP_POLL_S = 0.1
#: Once cached look-ups have expired, a stop waits until no request has
#: arrived for this time, but at most for one more look-up lifetime.
STOP_IDLE_S = 1.0
#: Time for the answer to a request that has reached its deadline.
DEADLINE_ANSWER_S = 0.5
_BYTES_PER_MB = 1_000_000

_log = logger('node')


class Node:
    """One instance with all its components.

    :param cfg: settings of the instance.
    :param topology: the deployment.
    """

    def __init__(self, cfg: Settings, topology: Topology) -> None:
        self._cfg = cfg
        self._topology = topology
        self._clock = SystemClock()
        self.in_force = ConfigInForce()
        self._transport = PynngTransport(
            Codec(cfg.cluster_key, cfg.name),
            topology.instance(cfg.name),
            topology.instances,
        )
        self._metrics = metrics_from_config(cfg.statsd)
        self._background = BackgroundTasks(
            lambda name: self._metrics.count(f'task_restarts.{name}')
        )
        self.entry = self._build_entry()
        self.replica = self._build_replica()
        self._delivery = ConfigDelivery(
            cfg.name,
            topology,
            self.in_force,
            self._transport,
            self._clock,
            self.replica,
            ConfigDeliveryOptions.from_topology(topology, self._live_instances),
        )
        self.control = self._build_control()
        memory_bytes = cfg.memory_mb * _BYTES_PER_MB
        max_connections = DescriptorLimits.of_process().requests
        self._server = HttpServer.from_app(
            self._build_app(),
            cfg.host,
            cfg.http_port,
            _drain_timeout_s(topology),
            memory=CallerMemory(MemoryLimits.from_memory(memory_bytes)),
            bounds=ListenerBounds.from_memory(
                memory_bytes, max_connections
            ).with_connections(max_connections),
        )
        self._server_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start all listeners and tasks."""
        await self._transport.start()
        if self.replica is not None:
            await self.replica.start()
        factories = {
            'delivery': self._delivery.run,
            'account sync': self.control.instance_querier.run_account_sync,
            **(self.entry.tasks() if self.entry else {}),
        }
        for name, factory in factories.items():
            self._background.supervise(name, factory)
        self._server_task = asyncio.create_task(self._server.serve())
        self._server_task.add_done_callback(_log_failure)
        while not self._server.started:
            await asyncio.sleep(START_POLL_S)
        _log.info('Serving requests on port {}.', self._cfg.http_port)

    async def stop(self) -> None:
        """Stop without breaking off a request.

        Look-ups omit this instance first. It goes on serving while clients
        may still have cached look-ups that name it.
        """
        _log.info('Stopping; look-ups no longer name this instance.')
        if self.entry is not None:
            await self._leave(self.entry)
        await self._shut_down()

    async def kill(self) -> None:
        """Stop at once as in a crash, closing connections of callers."""
        for conn in tuple(self._server.server_state.connections):
            conn.transport.abort()
        for listener in self._server.servers:
            listener.close()
        self._server.force_exit = True
        await self._shut_down()

    async def _leave(self, entry: EntryRole) -> None:
        await entry.ownership.announce_stop()
        self._server.start_drain()
        cached_until = self._clock.now() + self._cfg.lookup_lifetime_s
        latest_stop_at = cached_until + self._cfg.lookup_lifetime_s
        while self._clock.now() < latest_stop_at:
            await asyncio.sleep(STOP_POLL_S)
            idle_s = self._clock.now() - entry.service.last_arrival_at
            if self._clock.now() >= cached_until and idle_s >= STOP_IDLE_S:
                break
        entry.service.refuses_new = True

    async def _shut_down(self) -> None:
        self._server.begin_stop()
        if self._server_task is not None:
            await asyncio.gather(self._server_task, return_exceptions=True)
        await self._background.stop()
        if self.replica is not None:
            await self.replica.stop()
        if self.entry is not None:
            await self.entry.close()
        await self._transport.stop()
        self._metrics.close()

    def _live_instances(self) -> frozenset[str]:
        # An instance leaves the delivery tree only if it announced its stop,
        # or if the heartbeats that it sends to this instance have stopped.
        return frozenset(
            instance.name
            for instance in self._topology.instances
            if self.entry is None
            or Role.entry not in instance.roles
            or not self.entry.membership.is_leaving_or_silent(instance.name)
        )

    def _build_entry(self) -> EntryRole | None:
        if Role.entry not in self._cfg.roles:
            return None
        return EntryRole.from_context(
            InstanceContext(
                cfg=self._cfg,
                topology=self._topology,
                clock=self._clock,
                transport=self._transport,
                in_force=self.in_force,
            ),
        )

    def _build_replica(self) -> LogReplica | None:
        if Role.control not in self._cfg.roles:
            return None
        return LogReplica.from_config(
            self._cfg.name,
            tuple(peer.name for peer in self._topology.control_instances()),
            self._transport,
            self._clock,
            FileDisk(pathlib.Path(self._cfg.data_folder)),
            options=ReplicaOptions(on_corruption=self._cfg.on_corruption),
        )

    def _build_control(self) -> OperatorApi:
        incarnation = (
            self.entry.membership.incarnation
            if self.entry
            else secrets.token_hex(6)
        )
        return OperatorApi(
            OperatorApiDependencies(
                cfg=self._cfg,
                topology=self._topology,
                incarnation=incarnation,
                in_force=self.in_force,
                delivery=self._delivery,
                transport=self._transport,
                control_log=self.replica,
                accounts=self.entry.accounts if self.entry else None,
                tasks_down=self._background.names_down,
            ),
        )

    def _build_app(self) -> Litestar:
        handlers = operator_handlers(self.control)
        if self.entry is not None:
            handlers.append(
                services_handler(self.entry.service, self.entry.hop_signer),
            )
            handlers.append(
                lookup_handler(self.entry.lookup, self.entry.tracer),
            )
            handlers.append(explain_handler(self.entry.explainer))
        return Litestar(
            handlers,
            openapi_config=openapi_config(),
            logging_config=None,
            exception_handlers=exception_handlers(),
        )


def _drain_timeout_s(topology: Topology) -> float:
    """Return how long a stop waits for running requests, in seconds.

    :param topology: the deployment; requests end by their deadlines.
    """
    deadlines_s = (each.longest_deadline_s for each in topology.services)
    longest_s = max(deadlines_s, default=0) + DEADLINE_ANSWER_S
    return max(longest_s, DRAIN_TIMEOUT_S)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.opt(exception=task.exception()).error(
            'Task of the instance failed.'
        )
