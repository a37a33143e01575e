"""Probes the health of targets that this instance owns.

Requests show the health of a busy target, so only idle, ejected and leaving
targets are probed; the probes take at most 1% of a target's time.
"""

import abc
import asyncio
import math

import httpx
import msgspec

from .bounded_read import get_bounded
from .clock import Clock
from .connection_pool import ConnectionLimits, PoolTransport
from .membership import Membership
from .ownership import Ownership
from .settings import Target
from .slot_table import SlotTable, TargetSlots
from .types import DRAINING_HEADER

#: A probe takes 6 ms of a target; one each second takes 0.6% of its time.
PROBE_INTERVAL_S = 1.0
#: The interval is at least this many times the length of the last probe, so
#: that slower probes stay within 1% too.
PROBE_COST_FACTOR = 100
PROBE_TIMEOUT_S = 0.2
PROBE_CONCURRENCY = 2
#: A probe whose answer is larger fails.
MAX_REPORT_BYTES = 1024 * 1024
PROBE_TICK_S = 0.25
#: No probe is sent for this long after the end of a request.
IDLE_BEFORE_PROBE_S = 2.0


class ProbeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a probe.

    :param healthy: whether the target answered with status 200.
    :param draining: whether the answer carries the leaving signal.
    :param load: the load that it reports, in its own unit; None for none.
    :param reported_at: Unix time of the load report; None for none.
    """

    healthy: bool
    draining: bool = False
    load: float | None = None
    reported_at: float | None = None


class ProbeClient(abc.ABC):
    """Sends probes to targets."""

    @abc.abstractmethod
    async def probe(self, target: Target, timeout_s: float) -> ProbeResult:
        """Send a probe and return its result.

        :param target: the target.
        :param timeout_s: longest time to wait, in seconds.
        """


class _LoadReport(msgspec.Struct, frozen=True):
    load: float | None = None
    at: float | None = None


class HttpxProbeClient(ProbeClient):
    """Sends probes over HTTP.

    A target may report its load as JSON with the fields `load` and `at`.

    :param path: path of the health endpoint.
    """

    def __init__(self, path: str = '/health') -> None:
        self._path = path
        limits = ConnectionLimits(connections=PROBE_CONCURRENCY, idle=1)
        self._http = httpx.AsyncClient(
            transport=PoolTransport(limits), trust_env=False
        )

    async def probe(self, target: Target, timeout_s: float) -> ProbeResult:
        """Send a probe and return its result.

        :param target: the target.
        :param timeout_s: longest time to wait, in seconds.
        """
        url = f'http://{target.host}:{target.port}{self._path}'
        try:
            answer = await get_bounded(
                self._http, url, timeout_s, MAX_REPORT_BYTES
            )
        except httpx.HTTPError:
            return ProbeResult(healthy=False)
        try:
            report = msgspec.json.decode(answer.content, type=_LoadReport)
        except (msgspec.DecodeError, RecursionError):
            report = _LoadReport()
        return ProbeResult(
            healthy=answer.status_code == httpx.codes.OK,
            draining=DRAINING_HEADER in answer.headers,
            load=report.load,
            reported_at=report.at,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()


class Prober:
    """Probes owned targets that are idle, ejected or leaving.

    :param table: slots and health of the targets.
    :param ownership: tells which targets this instance owns.
    :param membership: records the leaving signals.
    :param client: sends the probes.
    :param clock: time source.
    """

    def __init__(
        self,
        table: SlotTable,
        ownership: Ownership,
        membership: Membership,
        client: ProbeClient,
        clock: Clock,
    ) -> None:
        self._table = table
        self._ownership = ownership
        self._membership = membership
        self._client = client
        self._clock = clock
        self._next_at: dict[str, float] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self.probe_due()
            await asyncio.sleep(PROBE_TICK_S)

    async def probe_due(self) -> int:
        """Probe due targets, the most overdue first.

        At most ``PROBE_CONCURRENCY`` of them are probed.

        :returns: how many were probed.
        """
        now = self._clock.now()
        due = [
            target
            for target in self._ownership.owned()
            if self._next_at.get(target.name, -math.inf) <= now
            and self._needs_probe(self._table.state(target.name), now)
        ]
        due.sort(key=lambda target: self._next_at.get(target.name, -math.inf))
        chosen = due[:PROBE_CONCURRENCY]
        await asyncio.gather(*(self._probe(target) for target in chosen))
        return len(chosen)

    def _needs_probe(self, state: TargetSlots, now: float) -> bool:
        name = state.target.name
        if state.health.is_ejected(now):
            return True
        if name in self._membership.own_leaving_targets:
            return True
        return (
            not state.running
            and now - state.health.observed_at >= IDLE_BEFORE_PROBE_S
        )

    async def _probe(self, target: Target) -> None:
        started_at = self._clock.now()
        result = await self._client.probe(target, PROBE_TIMEOUT_S)
        now = self._clock.now()
        self._next_at[target.name] = started_at + max(
            PROBE_INTERVAL_S,
            (now - started_at) * PROBE_COST_FACTOR,
        )
        if result.draining:
            self._membership.mark_target_leaving(target.name)
        elif result.healthy:
            self._membership.clear_target_leaving(target.name)
        self._record_result(self._table.state(target.name), result, now)

    def _record_result(
        self,
        state: TargetSlots,
        result: ProbeResult,
        now: float,
    ) -> None:
        if result.load is not None:
            age_s = None
            if result.reported_at is not None:
                age_s = self._clock.wall() - result.reported_at
            state.health.record_load(result.load, now, age_s)
        if result.healthy:
            state.health.record_good_probe()
        elif state.health.is_ejected(now):
            state.health.extend_ejection(now)
        else:
            state.health.record_timeout(now)
            self._table.eject_if_failing(state.target.name)
