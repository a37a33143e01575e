"""Tests of the probes of owned targets.

They guard against probes that load targets, and against results of probes
that are ignored or kept too long.
"""

from cuminhoist.probes import (
    PROBE_TIMEOUT_S,
    HttpxProbeClient,
    ProbeClient,
    Prober,
    ProbeResult,
)
from cuminhoist.slots import SlotOutcome

from .builders_carry import RawServer, raw_target
from .test_slot_table import Bench, OwnAll

PROBE_COST_S = 0.006


class BenchOwnership(OwnAll):
    """Ownership that owns all targets of a bench."""

    def __init__(self, bench, count):
        self.targets = [
            bench.table.state(f't{nr}').target for nr in range(count)
        ]

    def owned(self):
        return tuple(self.targets)


class FakeProbes(ProbeClient):
    """Answers each probe with the set result after a fixed time.

    ``spent_s`` has the total time of the probes of each target.
    """

    def __init__(self, clock, cost_s=PROBE_COST_S):
        self.clock, self.cost_s = clock, cost_s
        self.result = ProbeResult(healthy=True)
        self.spent_s = {}

    async def probe(self, target, timeout_s):
        self.clock.advance(self.cost_s)
        self.spent_s[target.name] = (
            self.spent_s.get(target.name, 0) + self.cost_s
        )
        return self.result


def _prober(count=4, cost_s=PROBE_COST_S):
    bench = Bench(count)
    client = FakeProbes(bench.clock, cost_s)
    prober = Prober(
        bench.table,
        BenchOwnership(bench, count),
        bench.membership,
        client,
        bench.clock,
    )
    return bench, client, prober


async def _run(bench, prober, seconds):
    ends_at = bench.clock.now() + seconds
    while bench.clock.now() < ends_at:
        assert await prober.probe_due() <= 2
        bench.clock.advance(0.25)


async def test_probes_cost_at_most_one_percent():
    """Guards against probes that take too much time of slow targets."""
    for cost_s in (PROBE_COST_S, 0.05, 0.2):
        bench, client, prober = _prober(cost_s=cost_s)
        await _run(bench, prober, 200)
        assert len(client.spent_s) == 4
        assert max(client.spent_s.values()) <= 0.01 * 200 + cost_s


async def test_busy_targets_are_not_probed():
    """Guards against probes of targets whose health requests show already."""
    bench, client, prober = _prober(1)
    for _ in range(20):
        bench.use_at('t0', SlotOutcome.answered)
        await prober.probe_due()
        bench.clock.advance(0.5)
    assert not client.spent_s


async def test_failed_probes_eject_and_good_ones_let_it_end():
    """Guards against requests to an idle target that does not answer.

    An idle target has no failed requests and so would be chosen first.
    """
    bench, client, prober = _prober(2)
    client.result = ProbeResult(healthy=False)
    await _run(bench, prober, 30)
    states = [bench.table.state(name) for name in ('t0', 't1')]
    assert sum(st.health.is_ejected(bench.clock.now()) for st in states) == 1
    client.result = ProbeResult(healthy=True)
    await _run(bench, prober, 70)
    assert bench.table.usable_slots('svc') == 6


async def test_draining_signal_is_shared_and_cleared():
    """Guards against a leaving signal that is ignored or never cleared."""
    bench, client, prober = _prober(1)
    client.result = ProbeResult(healthy=True, draining=True)
    await _run(bench, prober, 1)
    assert bench.membership.is_target_leaving('t0')
    client.result = ProbeResult(healthy=True)
    await _run(bench, prober, 3)
    assert not bench.membership.is_target_leaving('t0')


async def test_extra_health_answer_was_taken_for_the_next_one():
    """Guards against a failing target that stays healthy in all later probes.

    The target sends its first health answer twice in one packet.
    """
    statuses = ['200 OK', '503 Service Unavailable', '503 Service Unavailable']

    async def script(server, reader, writer):
        while True:
            await server.head(reader)
            status = statuses[len(server.heads) - 1]
            answer = f'HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\n{{}}'
            copies = 2 if len(server.heads) == 1 else 1
            writer.write(answer.encode() * copies)

    client = HttpxProbeClient()
    async with RawServer(script) as server:
        target = raw_target(server.port)
        healthy = [
            (await client.probe(target, PROBE_TIMEOUT_S)).healthy
            for _ in statuses
        ]
        await client.close()
    assert healthy == [True, False, False]
