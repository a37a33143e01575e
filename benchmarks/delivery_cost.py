"""Measures the delivery of configuration changes over loopback sockets.

The parent and its children run in two threads, so that the processor time of
each side can be read. Threads of the messaging library serve both sides; their
time is the remainder of the process time. Prints JSON.
"""

import asyncio
import contextlib
import socket
import statistics
import threading
import time
from collections.abc import Coroutine
from typing import Any, Self, TypeVar

import msgspec
from returns.result import Result

from cuminhoist.clock import SystemClock
from cuminhoist.codec import Codec, Message, ReceivedMessage
from cuminhoist.config_delivery import ConfigDelivery, ConfigDeliveryOptions
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.config_model import Caller, Change, Configuration, Plan, Plans
from cuminhoist.deltas import ConfigStore, EncodedConfig, diff
from cuminhoist.settings import FailureDomain, Instance, Role, Topology
from cuminhoist.transport import PynngTransport
from cuminhoist.types import (
    CallerName,
    DomainName,
    InstanceName,
    PlanName,
    RegionName,
)

from .local_log import LocalLog

CHANGES = 200
IDLE_S = 20
CHILD_COUNTS = (1, 2, 4, 8)
CALLER_COUNTS = (1, 10, 100, 1000, 10_000, 50_000)
#: Changes over which the time per change is averaged.
SIZE_CHANGES = 5
PARENT = 'parent'
_GOLD = PlanName('gold')
_TIN = PlanName('tin')
_REGION = RegionName('here')

_Value = TypeVar('_Value')


class CountingCodec(Codec):
    """A codec that counts frames and their bytes."""

    def __init__(self, cluster_key: str, sender: str) -> None:
        super().__init__(cluster_key, sender)
        self.sent = 0
        self.received = 0
        self.frames = 0

    def encode(self, msg: Message) -> bytes:
        """Encode a message and count its frame.

        :param msg: the message.
        """
        frame = super().encode(msg)
        self.sent += len(frame)
        self.frames += 1
        return frame

    def decode(self, frame: bytes) -> Result[ReceivedMessage, str]:
        """Decode a frame and count it.

        :param frame: bytes from the network.
        """
        self.received += len(frame)
        self.frames += 1
        return super().decode(frame)


class LoopThread:
    """An event loop in a separate thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            daemon=True,
        )
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, _Value]) -> _Value:
        """Run a coroutine on the loop and return its result.

        :param coroutine: the coroutine.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            60
        )

    def cpu_s(self) -> float:
        """Return the processor time of the thread, in seconds."""
        return self.run(_thread_cpu_s())

    def stop(self) -> None:
        """Stop the loop and wait for the thread to end."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


class BenchInstance:
    """Transport and configuration delivery of one instance.

    :param own: the instance.
    :param topology: the deployment.
    """

    def __init__(self, own: Instance, topology: Topology) -> None:
        self.codec = CountingCodec('benchmark', own.name)
        self.transport = PynngTransport(self.codec, own, topology.instances)
        self.in_force = ConfigInForce()
        self.log = LocalLog(own.name) if own.name == PARENT else None
        self.delivery = ConfigDelivery(
            own.name,
            topology,
            self.in_force,
            self.transport,
            SystemClock(),
            self.log,
            ConfigDeliveryOptions(),
        )
        self.in_force_at: dict[int, float] = {}
        self.in_force.subscribe(self._on_change)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the transport and the delivery."""
        await self.transport.start()
        self._task = asyncio.create_task(self.delivery.run())

    async def stop(self) -> None:
        """Stop the delivery and the transport."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.transport.stop()

    def _on_change(self, config: Configuration) -> None:
        self.in_force_at[config.version] = time.monotonic()


class Bench:
    """A parent in one thread and its children in another.

    :param count: number of children.
    """

    def __init__(self, count: int) -> None:
        topology = _topology(count)
        self.parent_thread = LoopThread()
        self.children_thread = LoopThread()
        self.parent = self.parent_thread.run(_build(PARENT, topology))
        self.children = [
            self.children_thread.run(_build(f'child-{number}', topology))
            for number in range(count)
        ]

    def __enter__(self) -> Self:
        """Start all instances."""
        self.parent_thread.run(self.parent.start())
        for child in self.children:
            self.children_thread.run(child.start())
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop all instances."""
        for child in self.children:
            self.children_thread.run(child.stop())
        self.parent_thread.run(self.parent.stop())
        self.parent_thread.stop()
        self.children_thread.stop()

    def change(self, number: int) -> None:
        """Submit a change and wait until it is in force on all children.

        :param number: version that the change makes.
        """
        log = self.parent.log
        if log is None:
            return
        self.parent_thread.run(log.submit(_change(number)))
        while any(child.in_force.version < number for child in self.children):
            time.sleep(0.001)

    def counters(self) -> tuple[float, float, float, int, int]:
        """Return the counters.

        These are the processor times of the parent's thread, the children's
        thread and the process in seconds, then the bytes and frames that the
        parent sent and received.
        """
        codec = self.parent.codec
        return (
            self.parent_thread.cpu_s(),
            self.children_thread.cpu_s(),
            time.process_time(),
            codec.sent + codec.received,
            codec.frames,
        )

    def delivery_ms(self) -> list[float]:
        """Return the delays of changes from parent to child, in milliseconds.

        The first change is left out.
        """
        parent_at = self.parent.in_force_at
        return [
            (child_at - parent_at[version]) * 1000
            for child in self.children
            for version, child_at in child.in_force_at.items()
            if version > 1
        ]


def measure_changes(count: int) -> dict[str, object]:
    """Measure the cost of changes and the delay from parent to child.

    :param count: number of children.
    """
    with Bench(count) as bench:
        bench.change(1)
        start = bench.counters()
        for number in range(2, CHANGES + 2):
            bench.change(number)
        spent = _differences(start, bench.counters())
        delays_ms = sorted(bench.delivery_ms())
    deliveries = CHANGES * count
    return {
        'children': count,
        'parent_us_per_change_and_child': round(spent[0] / deliveries * 1e6),
        'child_us_per_change': round(spent[1] / deliveries * 1e6),
        # Includes the time of the main thread, which polls in short sleeps.
        'process_us_per_change_and_child': round(spent[2] / deliveries * 1e6),
        'bytes_per_change_and_child': round(spent[3] / deliveries),
        'hop_p50_ms': round(statistics.median(delays_ms), 3),
        'hop_p99_ms': round(delays_ms[int(len(delays_ms) * 0.99)], 3),
    }


def measure_idle(count: int) -> dict[str, object]:
    """Measure the cost without changes.

    :param count: number of children.
    """
    with Bench(count) as bench:
        bench.change(1)
        time.sleep(2)
        start = bench.counters()
        time.sleep(IDLE_S)
        spent = _differences(start, bench.counters())
    child_seconds = IDLE_S * count
    return {
        'children': count,
        'parent_us_per_s_and_child': round(spent[0] / child_seconds * 1e6),
        'child_us_per_s': round(spent[1] / child_seconds * 1e6),
        'process_us_per_s_and_child': round(spent[2] / child_seconds * 1e6),
        'bytes_per_s_and_child': round(spent[3] / child_seconds, 1),
        'frames_per_s_and_child': round(spent[4] / child_seconds, 2),
        'parent_bytes_per_s': round(spent[3] / IDLE_S),
        'parent_frames_per_s': round(spent[4] / IDLE_S, 1),
    }


def measure_sizes(callers: int) -> dict[str, object]:
    """Measure message sizes and processor time for a number of callers.

    :param callers: number of callers in the plans.
    """
    configs = [
        _config(callers, version) for version in range(1, SIZE_CHANGES + 2)
    ]
    encoded = [EncodedConfig.canonical(config) for config in configs]
    delta = diff(encoded[0].config, encoded[1].config)
    origin = ConfigStore(ConfigInForce())
    child = ConfigStore(ConfigInForce())
    origin.apply_committed(configs[0])
    child.apply_snapshot(encoded[0].payload, encoded[0].digest)
    publish_s: float = 0
    apply_s: float = 0
    for config in configs[1:]:
        start = time.process_time()
        origin.apply_committed(config)
        middle = time.process_time()
        deltas = origin.deltas_since(child.in_force.version)
        if deltas is None or origin.encoded is None:
            child.apply_snapshot(encoded[1].payload, encoded[1].digest)
            continue
        child.apply_deltas(deltas, origin.encoded.digest)
        apply_s += time.process_time() - middle
        publish_s += middle - start
    snapshot = len(encoded[0].payload)
    return {
        'callers': callers,
        'snapshot_bytes': snapshot,
        'snapshot_bytes_per_caller': round(snapshot / callers, 1),
        'delta_bytes_of_one_caller': len(msgspec.msgpack.encode(delta)),
        'control_ms_per_change': round(publish_s / SIZE_CHANGES * 1000, 2),
        'child_ms_per_change': round(apply_s / SIZE_CHANGES * 1000, 2),
    }


def _change(number: int) -> Change:
    # Forty callers; each version puts another one of them on the gold plan.
    config = _config(40, number)
    return Change(
        change_id=f'c{number}',
        base_version=number - 1,
        plans=config.plans,
    )


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(('127.0.0.1', 0))
            ports.append(int(sock.getsockname()[1]))
    return ports


def _config(callers: int, version: int) -> Configuration:
    plans = Plans(
        plans=(Plan(name=_GOLD), Plan(name=_TIN)),
        callers=tuple(
            Caller(
                name=CallerName(f'caller-{number:05}'),
                plan=_GOLD if number == version % callers else _TIN,
            )
            for number in range(callers)
        ),
    )
    return Configuration(version=version, plans_version=version, plans=plans)


def _topology(count: int) -> Topology:
    ports = _free_ports(2 * (count + 1))
    names = [PARENT, *(f'child-{number}' for number in range(count))]
    return Topology(
        deployment='benchmark',
        domains=tuple(
            FailureDomain(name=DomainName(name), region=_REGION)
            for name in names
        ),
        links=(),
        services=(),
        targets=(),
        instances=tuple(
            Instance(
                name=InstanceName(name),
                domain=DomainName(name),
                host='127.0.0.1',
                http_port=ports[2 * number],
                internal_port=ports[2 * number + 1],
                roles=(Role.control,) if name == PARENT else (Role.entry,),
            )
            for number, name in enumerate(names)
        ),
    )


def _differences(
    start: tuple[float, ...],
    end: tuple[float, ...],
) -> list[float]:
    return [after - before for before, after in zip(start, end, strict=True)]


async def _build(name: str, topology: Topology) -> BenchInstance:
    return BenchInstance(topology.instance(name), topology)


async def _thread_cpu_s() -> float:
    return time.thread_time()


def main() -> None:
    """Run all measurements and print the figures as JSON."""
    figures = {
        'changes': [measure_changes(count) for count in CHILD_COUNTS],
        'idle': [measure_idle(count) for count in (1, 8)],
        'sizes': [measure_sizes(callers) for callers in CALLER_COUNTS],
    }
    print(msgspec.json.format(msgspec.json.encode(figures)).decode())


if __name__ == '__main__':
    main()
