"""Probes of the targets that this instance owns."""

import abc
import asyncio
import math

import httpx
import msgspec

from .clock import Clock
from .membership import Membership
from .ownership import Ownership
from .settings import Target
from .slot_table import SlotTable, TargetSlots
from .types import DRAINING_HEADER

#: A probe costs the target 6 ms; once a second is 0.6% of its time.
PROBE_INTERVAL_S = 1.0
#: A probe that takes longer comes less often, to stay within 1%.
PROBE_COST_FACTOR = 100
PROBE_TIMEOUT_S = 0.2
PROBE_CONCURRENCY = 2
PROBE_TICK_S = 0.25
#: Results of requests make probes needless for this long.
IDLE_S = 2.0


class ProbeResult(msgspec.Struct, frozen=True, kw_only=True):
    """What a target answered to a probe.

    :param healthy: whether it answered that it takes work.
    :param draining: whether it says that it is leaving.
    :param load: the load that it reports; None if it reports none.
    :param reported_at: Unix time of the report; None if it has none.
    """

    healthy: bool
    draining: bool = False
    load: float | None = None
    reported_at: float | None = None


class ProbeClient(abc.ABC):
    """Sends probes to targets."""

    @abc.abstractmethod
    async def probe(self, target: Target, timeout_s: float) -> ProbeResult:
        """Return what a target says about itself.

        :param target: the target.
        :param timeout_s: longest time to wait, in seconds.
        """


class _LoadReport(msgspec.Struct, frozen=True):
    load: float | None = None
    at: float | None = None


class HttpxProbeClient(ProbeClient):
    """Probes over HTTP; load is JSON with the fields `load` and `at`.

    :param path: path of the health endpoint.
    """

    def __init__(self, path: str = '/health') -> None:
        self._path = path
        self._http = httpx.AsyncClient(trust_env=False)

    async def probe(self, target: Target, timeout_s: float) -> ProbeResult:
        """Return what a target says about itself.

        :param target: the target.
        :param timeout_s: longest time to wait, in seconds.
        """
        url = f'http://{target.host}:{target.port}{self._path}'
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._http.get(url, timeout=timeout_s)
        except (httpx.HTTPError, TimeoutError):
            return ProbeResult(healthy=False)
        try:
            report = msgspec.json.decode(reply.content, type=_LoadReport)
        except msgspec.DecodeError:
            report = _LoadReport()
        return ProbeResult(
            healthy=reply.status_code == httpx.codes.OK,
            draining=DRAINING_HEADER in reply.headers,
            load=report.load,
            reported_at=report.at,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()


class Prober:
    """Probes own targets that are idle, ejected or leaving.

    :param table: slots and observations.
    :param ownership: which targets are own.
    :param membership: gets the leaving signals.
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
        """Probe the targets that need it, the longest waiting first.

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
        if name in self._membership.own_signals:
            return True
        return not state.running and now - state.health.observed_at >= IDLE_S

    async def _probe(self, target: Target) -> None:
        started_at = self._clock.now()
        found = await self._client.probe(target, PROBE_TIMEOUT_S)
        now = self._clock.now()
        self._next_at[target.name] = started_at + max(
            PROBE_INTERVAL_S,
            (now - started_at) * PROBE_COST_FACTOR,
        )
        if found.draining:
            self._membership.mark_target_leaving(target.name)
        elif found.healthy:
            self._membership.clear_target_leaving(target.name)
        self._note(self._table.state(target.name), found, now)

    def _note(
        self,
        state: TargetSlots,
        found: ProbeResult,
        now: float,
    ) -> None:
        if found.load is not None:
            age_s = None
            if found.reported_at is not None:
                age_s = self._clock.wall() - found.reported_at
            state.health.report(found.load, now, age_s)
        if found.healthy:
            state.health.note_probe()
        elif state.health.is_ejected(now):
            state.health.extend_ejection(now)
        else:
            state.health.note_timeout(now)
            self._table.judge(state.target.name)
