"""Cost of the control log over loopback: idle traffic and changes.

All replicas run in one process; the figures are per replica. Run it with
``python -m benchmarks.control_cost``; it prints JSON.
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
PARALLEL = 16
SEED = 20
FAST = ReplicaTimings(
    heartbeat_s=0.25,
    election_min_s=1,
    election_max_s=2,
    lease_s=0.9,
)
VARIANTS = (FAST, ReplicaTimings())


class CountingTransport(PynngTransport):
    """Counts the requests that an instance sends and serves."""

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


class Group:
    """Some replicas on loopback with files under one folder."""

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
        """Start all and return the leader once all are voters."""
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
        """Stop all replicas."""
        for replica in self.replicas:
            await replica.stop()
        for transport in self.transports:
            await transport.stop()


async def idle(count: int, timings: ReplicaTimings) -> dict[str, float]:
    """Measure a group without changes.

    :param count: number of replicas.
    :param timings: durations of the control log.
    """
    with tempfile.TemporaryDirectory() as folder:
        group = Group(count, timings, pathlib.Path(folder))
        leader = await group.start()
        await asyncio.sleep(2)
        lead = group.transports[group.replicas.index(leader)]
        before = _counts(group, lead)
        started = (time.process_time(), time.monotonic())
        await asyncio.sleep(IDLE_S)
        used = time.process_time() - started[0]
        elapsed = time.monotonic() - started[1]
        after = _counts(group, lead)
        await group.stop()
    calls, lead_calls, lead_bytes = (
        (new - old) / elapsed for old, new in zip(before, after, strict=True)
    )
    # A call costs the caller and the receiver about the same, and the
    # leader takes part in each.
    return {
        'calls_per_s_all': round(calls, 2),
        'calls_per_s_leader': round(lead_calls, 2),
        'calls_per_s_follower': round(lead_calls / (count - 1), 2),
        'leader_sent_bytes_per_s': round(lead_bytes),
        'core_percent_all': round(100 * used / elapsed, 3),
        'core_percent_leader_estimate': round(50 * used / elapsed, 3),
        'core_percent_follower_estimate': round(
            50 * used / elapsed / (count - 1),
            3,
        ),
    }


async def changes(count: int, timings: ReplicaTimings) -> dict[str, float]:
    """Measure accepted changes one by one and many at once.

    :param count: number of replicas.
    :param timings: durations of the control log.
    """
    with tempfile.TemporaryDirectory(dir='.') as folder:
        group = Group(count, timings, pathlib.Path(folder))
        leader = await group.start()
        delays = []
        for number in range(CHANGES):
            begun = time.monotonic()
            await _accept(leader, f'one-{number}')
            delays.append(time.monotonic() - begun)
        begun = time.monotonic()
        await asyncio.gather(
            *(_accept_some(leader, f'many-{lane}') for lane in range(PARALLEL)),
        )
        elapsed = time.monotonic() - begun
        await group.stop()
    total = CHANGES // PARALLEL * PARALLEL
    return {
        'one_by_one_median_ms': round(1000 * statistics.median(delays), 2),
        'one_by_one_p99_ms': round(
            1000 * statistics.quantiles(delays, n=100)[-1],
            2,
        ),
        'one_by_one_per_s': round(CHANGES / sum(delays), 1),
        'parallel_per_s': round(total / elapsed, 1),
    }


async def main() -> None:
    """Run all measurements and print them."""
    logger.remove()
    found: dict[str, dict[str, float]] = {}
    for count in (3, 5):
        for timings in VARIANTS:
            name = f'idle {count} replicas heartbeat {timings.heartbeat_s} s'
            found[name] = await idle(count, timings)
        found[f'changes {count} replicas'] = await changes(
            count, ReplicaTimings()
        )
    print(json.dumps(found, indent=1))


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


def _counts(group: Group, lead: CountingTransport) -> tuple[float, ...]:
    calls = sum(transport.sent for transport in group.transports)
    return (calls, lead.sent + lead.served, lead.sent_bytes)


async def _accept(leader: LogReplica, change_id: str) -> None:
    change = Change.from_drain(
        change_id,
        Drain(scope=DrainScope.upstream, name='u1'),
    )
    outcome = await leader.submit(change)
    if not isinstance(outcome, Accepted):
        sys.exit(f'not accepted: {outcome}')


async def _accept_some(leader: LogReplica, lane: str) -> None:
    for number in range(CHANGES // PARALLEL):
        await _accept(leader, f'{lane}-{number}')


if __name__ == '__main__':
    asyncio.run(main())
