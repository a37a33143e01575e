"""Measures the control log on loopback, without changes and with them.

All replicas run in one process; figures per replica are derived from its
totals. Prints JSON. Run with ``python -m benchmarks.control_cost``.
"""

import asyncio
import json
import pathlib
import socket
import statistics
import sys
import tempfile
import time

from loguru import logger
from returns.result import Result

from cuminhoist.clock import SystemClock
from cuminhoist.codec import Codec, Message, ReceivedMessage
from cuminhoist.config_model import Accepted, Change, Drain
from cuminhoist.consensus import LogReplica
from cuminhoist.exceptions import TransportError
from cuminhoist.replica_context import ReplicaOptions, ReplicaTimings
from cuminhoist.settings import Instance, Role
from cuminhoist.storage import FileDisk
from cuminhoist.transport import PynngTransport
from cuminhoist.types import DomainName, DrainScope, InstanceName

IDLE_S = 10
CHANGES = 200
#: Tasks that submit changes at the same time.
SUBMITTERS = 16
SEED = 20
#: Heartbeats twice as often as by default.
FAST_TIMINGS = ReplicaTimings(
    heartbeat_s=0.25,
    election_min_s=1,
    election_max_s=2,
    lease_s=0.9,
)
VARIANTS = (FAST_TIMINGS, ReplicaTimings())


class CountingTransport(PynngTransport):
    """Transport that counts the requests and bytes of an instance."""

    sent = 0
    served = 0
    sent_bytes = 0

    async def call(
        self,
        peer: str,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, TransportError]:
        """Send a request and count it.

        :param peer: name of the instance to call.
        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """
        self.sent += 1
        self.sent_bytes += len(self._codec.encode(msg))
        return await super().call(peer, msg, timeout_s)

    async def handle(self, received: ReceivedMessage) -> Message:
        """Serve a request and count it.

        :param received: the request and its sender.
        """
        self.served += 1
        reply = await super().handle(received)
        self.sent_bytes += len(self._codec.encode(reply))
        return reply


class ReplicaGroup:
    """Replicas of one control log on loopback.

    :param count: number of replicas.
    :param timings: durations of the control log.
    :param folder: folder of the replicas' files.
    """

    def __init__(
        self,
        count: int,
        timings: ReplicaTimings,
        folder: pathlib.Path,
    ) -> None:
        instances = tuple(_instance(number) for number in range(count))
        names = tuple(entry.name for entry in instances)
        self.transports = [
            CountingTransport(Codec('bench', own.name), own, instances)
            for own in instances
        ]
        self.replicas = [
            LogReplica.from_config(
                name,
                names,
                transport,
                SystemClock(),
                FileDisk(folder / name),
                SEED + number,
                ReplicaOptions(timings=timings),
            )
            for number, (name, transport) in enumerate(
                zip(names, self.transports, strict=True),
            )
        ]

    async def start(self) -> LogReplica:
        """Start all replicas; return the leader when all are voters."""
        for transport, replica in zip(
            self.transports,
            self.replicas,
            strict=True,
        ):
            await transport.start()
            await replica.start()
        await self.replicas[0].bootstrap_cluster()
        while True:
            await asyncio.sleep(0.1)
            for replica in self.replicas:
                status = replica.status()
                complete = len(status.voters) == len(self.replicas)
                if status.role == 'leader' and complete:
                    return replica

    async def stop(self) -> None:
        """Stop all replicas and transports."""
        for replica in self.replicas:
            await replica.stop()
        for transport in self.transports:
            await transport.stop()


async def measure_idle(count: int, timings: ReplicaTimings) -> dict[str, float]:
    """Measure traffic and processor time without changes.

    :param count: number of replicas.
    :param timings: durations of the control log.
    """
    with tempfile.TemporaryDirectory() as folder:
        group = ReplicaGroup(count, timings, pathlib.Path(folder))
        leader = await group.start()
        await asyncio.sleep(2)
        leader_transport = group.transports[group.replicas.index(leader)]
        before = _counts(group, leader_transport)
        started = (time.process_time(), time.monotonic())
        await asyncio.sleep(IDLE_S)
        cpu_s = time.process_time() - started[0]
        elapsed_s = time.monotonic() - started[1]
        after = _counts(group, leader_transport)
        await group.stop()
    calls, leader_calls, leader_bytes = (
        (new - old) / elapsed_s for old, new in zip(before, after, strict=True)
    )
    # Caller and receiver spend about equal time on a call, and the leader
    # is one of them in every call, so it uses half of the total.
    return {
        'calls_per_s_all': round(calls, 2),
        'calls_per_s_leader': round(leader_calls, 2),
        'calls_per_s_follower': round(leader_calls / (count - 1), 2),
        'leader_sent_bytes_per_s': round(leader_bytes),
        'core_percent_all': round(100 * cpu_s / elapsed_s, 3),
        'core_percent_leader_estimate': round(50 * cpu_s / elapsed_s, 3),
        'core_percent_follower_estimate': round(
            50 * cpu_s / elapsed_s / (count - 1),
            3,
        ),
    }


async def measure_changes(
    count: int, timings: ReplicaTimings
) -> dict[str, float]:
    """Measure accepted changes, sequential and concurrent.

    :param count: number of replicas.
    :param timings: durations of the control log.
    """
    with tempfile.TemporaryDirectory(dir='.') as folder:
        group = ReplicaGroup(count, timings, pathlib.Path(folder))
        leader = await group.start()
        latencies_s = []
        for number in range(CHANGES):
            started = time.monotonic()
            await _submit(leader, f'one-{number}')
            latencies_s.append(time.monotonic() - started)
        started = time.monotonic()
        await asyncio.gather(
            *(
                _submit_many(leader, f'many-{submitter}')
                for submitter in range(SUBMITTERS)
            ),
        )
        elapsed_s = time.monotonic() - started
        await group.stop()
    total = CHANGES // SUBMITTERS * SUBMITTERS
    return {
        'one_by_one_median_ms': round(1000 * statistics.median(latencies_s), 2),
        'one_by_one_p99_ms': round(
            1000 * statistics.quantiles(latencies_s, n=100)[-1],
            2,
        ),
        'one_by_one_per_s': round(CHANGES / sum(latencies_s), 1),
        'parallel_per_s': round(total / elapsed_s, 1),
    }


async def main() -> None:
    """Run all measurements and print the figures as JSON."""
    logger.remove()
    figures: dict[str, dict[str, float]] = {}
    for count in (3, 5):
        for timings in VARIANTS:
            name = f'idle {count} replicas heartbeat {timings.heartbeat_s} s'
            figures[name] = await measure_idle(count, timings)
        figures[f'changes {count} replicas'] = await measure_changes(
            count, ReplicaTimings()
        )
    print(json.dumps(figures, indent=1))


def _instance(number: int) -> Instance:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        port = int(sock.getsockname()[1])
    return Instance(
        name=InstanceName(f'c{number}'),
        domain=DomainName('d'),
        host='127.0.0.1',
        http_port=1,
        internal_port=port,
        roles=(Role.control,),
    )


def _counts(
    group: ReplicaGroup, leader_transport: CountingTransport
) -> tuple[float, ...]:
    calls = sum(transport.sent for transport in group.transports)
    return (
        calls,
        leader_transport.sent + leader_transport.served,
        leader_transport.sent_bytes,
    )


async def _submit(leader: LogReplica, change_id: str) -> None:
    change = Change.from_drain(
        change_id,
        Drain(scope=DrainScope.upstream, name='u1'),
    )
    outcome = await leader.submit(change)
    if not isinstance(outcome, Accepted):
        sys.exit(f'change was not accepted: {outcome}')


async def _submit_many(leader: LogReplica, submitter: str) -> None:
    for number in range(CHANGES // SUBMITTERS):
        await _submit(leader, f'{submitter}-{number}')


if __name__ == '__main__':
    asyncio.run(main())
