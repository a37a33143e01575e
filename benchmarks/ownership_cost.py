"""Measures the cost of heartbeats, slot choices and key records.

Prints JSON. Run with ``python -m benchmarks.ownership_cost``.
"""

import asyncio
import contextlib
import gc
import json
import socket
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from cuminhoist.clock import ManualClock, SystemClock
from cuminhoist.codec import Codec, Message
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.heartbeats import Heartbeat, HeartbeatReply
from cuminhoist.key_records import Fingerprint, NewRun, parse_key
from cuminhoist.key_store import KeyStore
from cuminhoist.logging_setup import configure_logs
from cuminhoist.membership import Membership
from cuminhoist.ownership import Ownership
from cuminhoist.settings import LogSettings, Topology
from cuminhoist.slot_table import SlotTable, TargetSlots
from cuminhoist.slots import SlotOutcome
from cuminhoist.transport import PynngTransport

PEER_COUNTS = (1, 3, 7)
HEARTBEAT_ROUNDS = 100
TARGET_COUNTS = (3, 18)
SLOT_ACTIONS = 20_000
RECORDS = 20_000
REPEATS = 5


def free_ports(count: int) -> list[int]:
    """Return TCP ports that no process listens on.

    :param count: number of ports.
    """
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(socket.create_server(('127.0.0.1', 0)))
            for _ in range(count)
        ]
        return [int(sock.getsockname()[1]) for sock in socks]


def build_domain(entries: int, targets: int = 18) -> Topology:
    """Return a topology with one failure domain and one service.

    :param entries: number of entry instances.
    :param targets: number of targets.
    """
    ports = free_ports(entries)
    host = '127.0.0.1'
    content = {
        'deployment': 'benchmark',
        'domains': [{'name': 'd1', 'region': 'r1'}],
        'links': [],
        'services': [{'name': 'service', 'kinds': [{'name': 'read'}]}],
        'instances': [
            {
                'name': f'entry-{number}',
                'domain': 'd1',
                'host': host,
                'http_port': port,
                'internal_port': port,
            }
            for number, port in enumerate(ports)
        ],
        'targets': [
            {
                'name': f'target-{number:02}',
                'service': 'service',
                'domain': 'd1',
                'host': host,
                'port': 1,
            }
            for number in range(targets)
        ],
    }
    return msgspec.convert(content, Topology)


class CountingCodec(Codec):
    """A codec that counts the bytes of heartbeats and their replies."""

    sent_bytes = 0

    def encode(self, msg: Message) -> bytes:
        """Encode a message and count its bytes.

        :param msg: the message.
        """
        frame = super().encode(msg)
        if isinstance(msg, Heartbeat | HeartbeatReply):
            self.sent_bytes += len(frame)
        return frame


class BenchInstance:
    """Ownership of one instance, with heartbeats over real sockets.

    :param topology: topology with one failure domain.
    :param name: name of the instance.
    """

    def __init__(self, topology: Topology, name: str) -> None:
        clock = SystemClock()
        self.codec = CountingCodec('key', name)
        self.transport = PynngTransport(
            self.codec,
            topology.instance(name),
            topology.instances,
        )
        members = Membership(topology, name, clock, ConfigInForce())
        self.table = SlotTable(topology, members, clock)
        self.ownership = Ownership(
            topology,
            members,
            self.transport,
            clock,
            self.table,
        )
        self.table.attach_ownership(self.ownership)


async def heartbeat_cost(peers: int) -> dict[str, float]:
    """Measure heartbeat rounds of a failure domain within this process.

    The cost of a call includes both ends, because an instance receives as
    many heartbeats as it sends.

    :param peers: number of domain peers of each instance.
    """
    topology = build_domain(peers + 1)
    instances = [
        BenchInstance(topology, entry.name) for entry in topology.instances
    ]
    for instance in instances:
        await instance.transport.start()
    for _ in range(REPEATS):
        for instance in instances:
            await instance.ownership.run_round()
    for instance in instances:
        instance.codec.sent_bytes = 0
    cpu_start, started = time.process_time(), time.monotonic()
    for _ in range(HEARTBEAT_ROUNDS):
        for instance in instances:
            await instance.ownership.run_round()
    cpu_s, elapsed_s = (
        time.process_time() - cpu_start,
        time.monotonic() - started,
    )
    sent_bytes = sum(peer.codec.sent_bytes for peer in instances)
    for instance in instances:
        await instance.transport.stop()
    rounds = HEARTBEAT_ROUNDS * len(instances)
    return {
        'peers': peers,
        'cpu_us_per_call': cpu_s / rounds / peers * 1e6,
        # An instance runs one round of heartbeats a second.
        'cpu_percent_of_core': cpu_s / rounds * 100,
        'round_ms': elapsed_s / rounds * 1000,
        'bytes_sent_per_s': sent_bytes / rounds,
    }


class OwnsAllTargets(Ownership):
    """Ownership of all targets by an instance without peers."""

    @property
    def held(self) -> set[str]:
        """Names of all targets."""
        return set(self._targets)

    def holds_lease(self) -> bool:
        """Return True: the lease never expires."""
        return True

    def owns(self, target: str) -> bool:
        """Return True: the instance owns every target.

        :param target: name of the target.
        """
        return True


def _table(targets: int) -> SlotTable:
    topology, clock = build_domain(1, targets), SystemClock()
    own_name = topology.instances[0].name
    members = Membership(topology, own_name, clock, ConfigInForce())
    table = SlotTable(topology, members, clock)
    transport = PynngTransport(
        CountingCodec('key', own_name),
        topology.instances[0],
        (),
    )
    table.attach_ownership(
        OwnsAllTargets(topology, members, transport, clock, table)
    )
    return table


def _acquire_and_release(table: SlotTable) -> None:
    slot = table.try_acquire('service', time.monotonic() + 1)
    if slot is not None:
        slot.release(SlotOutcome.answered, 0.01)


def _count_free_slots(table: SlotTable) -> None:
    table.free_slots('service')


def rate_of(action: Callable[[SlotTable], None], targets: int) -> float:
    """Return how often an action runs per second, the median of repeats.

    :param action: the action, on a table in which all slots are free.
    :param targets: number of targets that the instance owns.
    """
    table = _table(targets)
    rates = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        for _ in range(SLOT_ACTIONS // REPEATS):
            action(table)
        rates.append(SLOT_ACTIONS / REPEATS / (time.perf_counter() - started))
    return statistics.median(rates)


def bytes_per_key() -> dict[str, float]:
    """Return the mean memory of a key record, measured and as counted."""
    topology, clock = build_domain(1), ManualClock()
    own_name = topology.instances[0].name
    members = Membership(topology, own_name, clock, ConfigInForce())
    store = KeyStore(members, clock)
    ticket = store.current_ticket()
    gc.collect()
    tracemalloc.start()
    for number in range(RECORDS):
        key = f'{ticket}.{number:036}'
        parsed = parse_key(key)
        if parsed is None:
            continue
        run = store.begin('caller', parsed, Fingerprint(bytes(16)))
        if isinstance(run, NewRun):
            run.complete(200, [(b'content-type', b'text/plain')], bytes(100))
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'measured_bytes': used_bytes / store.record_count,
        'counted_bytes': store.size_bytes / store.record_count,
    }


def bytes_per_target() -> float:
    """Return the memory of a target's state with all slots in use, in bytes."""
    target = build_domain(1).targets[0]
    gc.collect()
    tracemalloc.start()
    states = []
    for _ in range(RECORDS):
        state = TargetSlots(target)
        state.running.update({slot: 1000.5 + slot for slot in range(3)})
        states.append(state)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / len(states)


async def main() -> None:
    """Run all measurements and print the figures as JSON."""
    configure_logs(LogSettings(level='ERROR'))
    figures = {
        'heartbeats': [await heartbeat_cost(peers) for peers in PEER_COUNTS],
        'slots': [
            {
                'targets': targets,
                'acquire_and_release_per_s': rate_of(
                    _acquire_and_release, targets
                ),
                'free_slots_per_s': rate_of(_count_free_slots, targets),
            }
            for targets in TARGET_COUNTS
        ],
        'key_record': bytes_per_key(),
        'target_bytes': bytes_per_target(),
    }
    print(json.dumps(figures, indent=2))


if __name__ == '__main__':
    asyncio.run(main())
