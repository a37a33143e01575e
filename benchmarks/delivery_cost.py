"""Cost of the delivery of changes over loopback sockets, as JSON.

Parent and children run in two threads of one process, so that the processor
time of each side is known. The library's own threads serve both sides; their
time is the rest of the process.
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
CHILDREN = (1, 2, 4, 8)
CALLERS = (1, 10, 100, 1000, 10_000, 50_000)
RUNS = 5
PARENT = 'parent'
_GOLD = PlanName('gold')
_TIN = PlanName('tin')
_REGION = RegionName('here')

_Value = TypeVar('_Value')


class CountingCodec(Codec):
    """A codec that counts the bytes of frames."""

    def __init__(self, cluster_key: str, sender: str) -> None:
        super().__init__(cluster_key, sender)
        self.sent = 0
        self.received = 0
        self.frames = 0

    def encode(self, msg: Message) -> bytes:
        """Return the frame of a message.

        :param msg: the message.
        """
        frame = super().encode(msg)
        self.sent += len(frame)
        self.frames += 1
        return frame

    def decode(self, frame: bytes) -> Result[ReceivedMessage, str]:
        """Return the message of a frame.

        :param frame: bytes from the network.
        """
        self.received += len(frame)
        self.frames += 1
        return super().decode(frame)


class LoopThread:
    """An event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            daemon=True,
        )
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, _Value]) -> _Value:
        """Run a coroutine on the loop and return its result.

        :param work: the coroutine.
        """
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(60)

    def cpu_s(self) -> float:
        """Return the processor time of the thread."""
        return self.run(_thread_time())

    def stop(self) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


class Node:
    """One instance with its delivery.

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
        self.taken_at: dict[int, float] = {}
        self.in_force.subscribe(self._on_change)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the listener and the delivery."""
        await self.transport.start()
        self._task = asyncio.create_task(self.delivery.run())

    async def stop(self) -> None:
        """Stop both."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.transport.stop()

    def _on_change(self, config: Configuration) -> None:
        self.taken_at[config.version] = time.monotonic()


class Bench:
    """A parent and its children in two threads.

    :param count: how many children.
    """

    def __init__(self, count: int) -> None:
        topology = _topology(count)
        self.above = LoopThread()
        self.below = LoopThread()
        self.parent = self.above.run(_build(PARENT, topology))
        self.children = [
            self.below.run(_build(f'child-{at}', topology))
            for at in range(count)
        ]

    def __enter__(self) -> Self:
        """Start all instances."""
        self.above.run(self.parent.start())
        for child in self.children:
            self.below.run(child.start())
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop all instances."""
        for child in self.children:
            self.below.run(child.stop())
        self.above.run(self.parent.stop())
        self.above.stop()
        self.below.stop()

    def change(self, number: int) -> None:
        """Apply a change and wait until all children have it in force.

        :param number: number of the change; it becomes the version.
        """
        log = self.parent.log
        if log is None:
            return
        self.above.run(log.submit(_change(number)))
        while any(child.in_force.version < number for child in self.children):
            time.sleep(0.001)

    def mark(self) -> tuple[float, float, float, int, int]:
        """Return processor times of both sides and all, bytes, frames."""
        codec = self.parent.codec
        return (
            self.above.cpu_s(),
            self.below.cpu_s(),
            time.process_time(),
            codec.sent + codec.received,
            codec.frames,
        )

    def hops_ms(self) -> list[float]:
        """Return the time of each hop of a change, in milliseconds."""
        at = self.parent.taken_at
        return [
            (taken - at[version]) * 1000
            for child in self.children
            for version, taken in child.taken_at.items()
            if version > 1
        ]


def measure_changes(count: int) -> dict[str, object]:
    """Measure the cost of changes and the latency of a hop.

    :param count: how many children.
    """
    with Bench(count) as bench:
        bench.change(1)
        start = bench.mark()
        for number in range(2, CHANGES + 2):
            bench.change(number)
        spent = _difference(start, bench.mark())
        hops = sorted(bench.hops_ms())
    per = CHANGES * count
    return {
        'children': count,
        'parent_us_per_change_and_child': round(spent[0] / per * 1e6),
        'child_us_per_change': round(spent[1] / per * 1e6),
        # The main thread waits in short sleeps, which this includes.
        'process_us_per_change_and_child': round(spent[2] / per * 1e6),
        'bytes_per_change_and_child': round(spent[3] / per),
        'hop_p50_ms': round(statistics.median(hops), 3),
        'hop_p99_ms': round(hops[int(len(hops) * 0.99)], 3),
    }


def measure_idle(count: int) -> dict[str, object]:
    """Measure the cost without changes.

    :param count: how many children.
    """
    with Bench(count) as bench:
        bench.change(1)
        time.sleep(2)
        start = bench.mark()
        time.sleep(IDLE_S)
        spent = _difference(start, bench.mark())
    per = IDLE_S * count
    return {
        'children': count,
        'parent_us_per_s_and_child': round(spent[0] / per * 1e6),
        'child_us_per_s': round(spent[1] / per * 1e6),
        'process_us_per_s_and_child': round(spent[2] / per * 1e6),
        'bytes_per_s_and_child': round(spent[3] / per, 1),
        'frames_per_s_and_child': round(spent[4] / per, 2),
        'parent_bytes_per_s': round(spent[3] / IDLE_S),
        'parent_frames_per_s': round(spent[4] / IDLE_S, 1),
    }


def measure_sizes(callers: int) -> dict[str, object]:
    """Measure sizes and processor time by the number of callers.

    :param callers: how many callers the plans have.
    """
    configs = [_config(callers, version) for version in range(1, RUNS + 2)]
    encoded = [EncodedConfig.canonical(config) for config in configs]
    step = diff(encoded[0].config, encoded[1].config)
    origin = ConfigStore(ConfigInForce())
    child = ConfigStore(ConfigInForce())
    origin.apply_committed(configs[0])
    child.apply_snapshot(encoded[0].payload, encoded[0].digest)
    publish_s: float = 0
    take_s: float = 0
    for config in configs[1:]:
        start = time.process_time()
        origin.apply_committed(config)
        middle = time.process_time()
        steps = origin.deltas_since(child.in_force.version)
        if steps is None or origin.encoded is None:
            child.apply_snapshot(encoded[1].payload, encoded[1].digest)
            continue
        child.apply_deltas(steps, origin.encoded.digest)
        take_s += time.process_time() - middle
        publish_s += middle - start
    snapshot = len(encoded[0].payload)
    return {
        'callers': callers,
        'snapshot_bytes': snapshot,
        'snapshot_bytes_per_caller': round(snapshot / callers, 1),
        'delta_bytes_of_one_caller': len(msgspec.msgpack.encode(step)),
        'control_ms_per_change': round(publish_s / RUNS * 1000, 2),
        'child_ms_per_change': round(take_s / RUNS * 1000, 2),
    }


def _change(number: int) -> Change:
    # Forty callers; each change moves one of them to the other plan.
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
                name=CallerName(f'caller-{at:05}'),
                plan=_GOLD if at == version % callers else _TIN,
            )
            for at in range(callers)
        ),
    )
    return Configuration(version=version, plans_version=version, plans=plans)


def _topology(count: int) -> Topology:
    ports = _free_ports(2 * (count + 1))
    names = [PARENT, *(f'child-{at}' for at in range(count))]
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
                http_port=ports[2 * at],
                internal_port=ports[2 * at + 1],
                roles=(Role.control,) if name == PARENT else (Role.entry,),
            )
            for at, name in enumerate(names)
        ),
    )


def _difference(
    start: tuple[float, ...],
    end: tuple[float, ...],
) -> list[float]:
    return [after - before for before, after in zip(start, end, strict=True)]


async def _build(name: str, topology: Topology) -> Node:
    return Node(topology.instance(name), topology)


async def _thread_time() -> float:
    return time.thread_time()


def main() -> None:
    """Measure everything and print it as JSON."""
    found = {
        'changes': [measure_changes(count) for count in CHILDREN],
        'idle': [measure_idle(count) for count in (1, 8)],
        'sizes': [measure_sizes(callers) for callers in CALLERS],
    }
    print(msgspec.json.format(msgspec.json.encode(found)).decode())


if __name__ == '__main__':
    main()
