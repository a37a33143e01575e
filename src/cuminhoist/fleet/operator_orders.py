"""Orders of operators at one control instance.

Configurations carry a version, and the highest one wins. Orders on a failure
domain carry no number: operators give one after the other, and give the next
one only after the one before was acknowledged or given up. An instance that
reads such an order late must therefore not apply it.
"""

import asyncio
import time
from collections.abc import Callable, Mapping

import msgspec
from returns.result import Result, Success

from ..gateway.routes import RouteTable
from ..logging_setup import logger
from ..register.declared_state import DrainDomain, ReplaceConfiguration
from ..register.replica import RegisterReplica
from .control_metrics import ControlMetrics
from .stalls import StallWatch, awake_and_suspended_s

#: Time between the arrival of an order and the check whether its sender still
#: waits, in seconds. If the order was held up on its way, the sender's close
#: follows within a round trip.
SENDER_CHECK_S = 0.1

DecodeConfiguration = Callable[[bytes], Result[RouteTable, str]]
_log = logger('control')


class Acknowledged(msgspec.Struct, frozen=True):
    """The order is in force and will not be lost."""


class Invalid(msgspec.Struct, frozen=True):
    """The order failed validation and was not submitted.

    :param reason: the validation error.
    """

    reason: str


class Undecided(msgspec.Struct, frozen=True):
    """The order may or may not be in force, or came too late to be applied.

    No quorum replied, or another order may be newer.
    """


OrderOutcome = Acknowledged | Invalid | Undecided


class OperatorOrders:
    """Validates orders and submits them to the register.

    :param replica: submits orders and reads the declared state.
    :param decode: decodes and validates a configuration.
    :param domains: all failure domains.
    :param metrics: counts the orders.
    :param stall_clock: returns time in seconds, suspensions included.
    """

    def __init__(
        self,
        replica: RegisterReplica,
        decode: DecodeConfiguration,
        domains: Mapping[str, str],
        metrics: ControlMetrics,
        stall_clock: Callable[[], float] | None = None,
    ) -> None:
        #: Tells whether the process has just stood still.
        self.stalls = StallWatch(stall_clock or awake_and_suspended_s)
        self._replica = replica
        self._decode = decode
        self._domains = domains
        self._metrics = metrics

    async def replace_configuration(self, body: bytes) -> OrderOutcome:
        """Apply a configuration unless a newer one is in force.

        :param body: the encoded configuration.
        """
        started_at = time.monotonic()
        outcome = await self._replace_configuration(body)
        self._record('configuration', outcome, started_at)
        return outcome

    async def drain_domain(
        self,
        domain: str,
        *,
        drained: bool,
        is_awaited: Callable[[], bool],
    ) -> OrderOutcome:
        """Start or end the drain of a failure domain.

        :param domain: the failure domain.
        :param drained: whether its targets get no requests.
        :param is_awaited: tells whether the sender waits for the outcome; if
            not, it may have given newer orders elsewhere.
        """
        started_at = time.monotonic()
        order = DrainDomain(
            domain=domain, drained=drained, seen=self._replica.known_index
        )
        outcome = await self._drain_domain(order, is_awaited)
        self._record('drain', outcome, started_at)
        return outcome

    async def read_configuration(self) -> bytes | None:
        """Return the configuration in force.

        Returns nothing if there is none yet or no quorum replies.
        """
        state = await self._replica.read()
        if state is None or not state.has_configuration:
            return None
        return state.body

    async def _replace_configuration(self, body: bytes) -> OrderOutcome:
        decoded = self._decode(body)
        if not isinstance(decoded, Success):
            _log.bind(reason=decoded.failure()).info('configuration refused')
            return Invalid(decoded.failure())
        version = decoded.unwrap().version
        state = await self._replica.submit(
            ReplaceConfiguration(version=version, body=body),
        )
        in_force = state is not None and state.includes_version(version)
        _log.bind(
            version=version,
            held=state.shown_version if state else None,
            acknowledged=in_force,
        ).info('configuration order')
        return Acknowledged() if in_force else Undecided()

    async def _drain_domain(
        self, order: DrainDomain, is_awaited: Callable[[], bool]
    ) -> OrderOutcome:
        if order.domain not in self._domains:
            return Invalid(f'unknown failure domain {order.domain!r}')
        is_late = self.stalls.is_recent
        if not is_late:
            await asyncio.sleep(SENDER_CHECK_S)
            is_late = self.stalls.is_recent or not is_awaited()
        state = None if is_late else await self._replica.submit(order)
        in_force = (
            state is not None
            and (order.domain in state.drained) == order.drained
        )
        _log.bind(
            domain=order.domain,
            drained=order.drained,
            late=is_late,
            acknowledged=in_force,
        ).info('drain order')
        return Acknowledged() if in_force else Undecided()

    def _record(
        self, kind: str, outcome: OrderOutcome, started_at: float
    ) -> None:
        name = type(outcome).__name__.lower()
        self._metrics.orders.labels(kind, name).inc()
        took_s = time.monotonic() - started_at
        self._metrics.order_time.labels(kind).observe(took_s)
