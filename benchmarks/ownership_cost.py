"""Cost of heartbeats, slots and key records; prints JSON.

Run it with ``python -m benchmarks.ownership_cost``.
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

PEERS = (1, 3, 7)
ROUNDS = 100
TARGETS = (3, 18)
ACQUIRES = 20_000
RECORDS = 20_000
REPEATS = 5


def free_ports(count: int) -> list[int]:
    """Return TCP ports that nothing listens on.

    :param count: how many.
    """
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(socket.create_server(('127.0.0.1', 0)))
            for _ in range(count)
        ]
        return [int(sock.getsockname()[1]) for sock in socks]


def cell(entries: int, targets: int = 18) -> Topology:
    """Return one failure domain with one service.

    :param entries: how many entry instances it has.
    :param targets: how many targets it has.
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


class Counting(Codec):
    """A codec that counts the bytes of all frames."""

    sent_bytes = 0

    def encode(self, msg: Message) -> bytes:
        """Return the frame of a message and count it.

        :param msg: the message.
        """
        frame = super().encode(msg)
        if isinstance(msg, Heartbeat | HeartbeatReply):
            self.sent_bytes += len(frame)
        return frame


class Part:
    """Heartbeats of one instance over real sockets.

    :param topology: the cell.
    :param name: name of the instance.
    """

    def __init__(self, topology: Topology, name: str) -> None:
        clock = SystemClock()
        self.codec = Counting('key', name)
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
    """Measure rounds of a whole cell that runs in this process.

    The cost of a call is that of both of its ends: an instance sends as
    many heartbeats as it serves.

    :param peers: how many peers each instance has.
    """
    topology = cell(peers + 1)
    parts = [Part(topology, entry.name) for entry in topology.instances]
    for part in parts:
        await part.transport.start()
    for _ in range(REPEATS):
        for part in parts:
            await part.ownership.run_round()
    for part in parts:
        part.codec.sent_bytes = 0
    began, wall = time.process_time(), time.monotonic()
    for _ in range(ROUNDS):
        for part in parts:
            await part.ownership.run_round()
    spent, took = time.process_time() - began, time.monotonic() - wall
    sent_bytes = sum(each.codec.sent_bytes for each in parts)
    for part in parts:
        await part.transport.stop()
    per_instance = ROUNDS * len(parts)
    return {
        'peers': peers,
        'cpu_us_per_call': spent / per_instance / peers * 1e6,
        'cpu_percent_of_core': spent / per_instance * 100,
        'round_ms': took / per_instance * 1000,
        'bytes_sent_per_s': sent_bytes / per_instance,
    }


class OwnAll(Ownership):
    """Ownership without peers."""

    @property
    def held(self) -> set[str]:
        """Every target of the cell."""
        return set(self._targets)

    def holds_lease(self) -> bool:
        """Tell that the lease is valid."""
        return True

    def owns(self, target: str) -> bool:
        """Tell that every target is own.

        :param target: name of the target.
        """
        return True


def _table(targets: int) -> SlotTable:
    topology, clock = cell(1, targets), SystemClock()
    own = topology.instances[0].name
    members = Membership(topology, own, clock, ConfigInForce())
    table = SlotTable(topology, members, clock)
    transport = PynngTransport(
        Counting('key', own),
        topology.instances[0],
        (),
    )
    table.attach_ownership(OwnAll(topology, members, transport, clock, table))
    return table


def _choose(table: SlotTable) -> None:
    slot = table.try_acquire('service', time.monotonic() + 1)
    if slot is not None:
        slot.release(SlotOutcome.answered, 0.01)


def _scan(table: SlotTable) -> None:
    table.free_slots('service')


def rate_of(action: Callable[[SlotTable], None], targets: int) -> float:
    """Return how often an action runs in a second; median of repeats.

    :param action: the action on a table with all targets free.
    :param targets: how many targets the instance owns.
    """
    table = _table(targets)
    rates = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        for _ in range(ACQUIRES // REPEATS):
            action(table)
        rates.append(ACQUIRES / REPEATS / (time.perf_counter() - began))
    return statistics.median(rates)


def bytes_per_key() -> dict[str, float]:
    """Measure the memory of key records, as a mean of many."""
    topology, clock = cell(1), ManualClock()
    own = topology.instances[0].name
    members = Membership(topology, own, clock, ConfigInForce())
    store = KeyStore(members, clock)
    ticket = store.current_ticket()
    gc.collect()
    tracemalloc.start()
    for number in range(RECORDS):
        text = f'{ticket}.{number:036}'
        parsed = parse_key(text)
        if parsed is None:
            continue
        run = store.begin('caller', parsed, Fingerprint(bytes(16)))
        if isinstance(run, NewRun):
            run.complete(200, [(b'content-type', b'text/plain')], bytes(100))
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'measured_bytes': used / store.record_count,
        'counted_bytes': store.size_bytes / store.record_count,
    }


def bytes_per_target() -> float:
    """Measure the memory of the state of one target with full slots."""
    target = cell(1).targets[0]
    gc.collect()
    tracemalloc.start()
    states = []
    for _ in range(RECORDS):
        state = TargetSlots(target)
        state.running.update({slot: 1000.5 + slot for slot in range(3)})
        states.append(state)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / len(states)


async def main() -> None:
    """Run all measurements and print them."""
    configure_logs(LogSettings(level='ERROR'))
    found = {
        'heartbeats': [await heartbeat_cost(peers) for peers in PEERS],
        'slots': [
            {
                'targets': targets,
                'acquire_and_release_per_s': rate_of(_choose, targets),
                'free_slots_per_s': rate_of(_scan, targets),
            }
            for targets in TARGETS
        ],
        'key_record': bytes_per_key(),
        'target_bytes': bytes_per_target(),
    }
    print(json.dumps(found, indent=2))


if __name__ == '__main__':
    asyncio.run(main())
