"""Injects the faults of a plan into the running deployment."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable

from .callers import Caller
from .evidence import Evidence, InjectedFault
from .operators import Operator
from .plan import Fault, FaultKind
from .processes import OPERATORS_PORT, RESTART_S, Instance
from .proxy import CutForm, Mode
from .upstreams import POISON_PREFIX, SERVICES, Target, TargetList

#: Longest time between the end of a process and its restart, in seconds.
MAX_DOWN_S = 1.2

_Action = Callable[[Fault], Awaitable[None]]

_LINK_MODES = {
    FaultKind.link_delay: Mode.delay,
    FaultKind.link_reset: Mode.refuse,
    FaultKind.link_one_way: Mode.one_way,
    FaultKind.link_silent: Mode.silent,
    FaultKind.target_down: Mode.refuse,
    FaultKind.target_silent: Mode.silent,
}

_CUT_FORMS = {
    FaultKind.targets_cut_hang: CutForm.hang,
    FaultKind.targets_cut_reset: CutForm.reset,
    FaultKind.targets_cut_live_on: CutForm.live_on,
}


class Injector:
    """Injects faults into processes, links, targets and the configuration.

    :param instances: control and entry instances.
    :param targets: the stand-in targets.
    :param target_list: the server of the list of targets.
    :param operator: sends orders to control instances.
    :param evidence: gets a record of each fault.
    """

    def __init__(
        self,
        instances: list[Instance],
        targets: list[Target],
        target_list: TargetList,
        operator: Operator,
        evidence: Evidence,
    ) -> None:
        self._instances = {instance.name: instance for instance in instances}
        self._targets = {target.base_name: target for target in targets}
        self._target_list = target_list
        self._operator = operator
        self._evidence = evidence
        self._actions: dict[FaultKind, _Action] = {
            **dict.fromkeys(_LINK_MODES, self._disturb_link),
            **dict.fromkeys(_CUT_FORMS, self._cut_from_targets),
            FaultKind.kill: self._kill,
            FaultKind.wipe: self._kill,
            FaultKind.torn_write: self._kill,
            FaultKind.terminate: self._terminate,
            FaultKind.pause: self._pause,
            FaultKind.settings: self._change_settings,
            FaultKind.disk_full: self._fill_disk,
            FaultKind.kill_controls: self._kill_controls,
            FaultKind.target_replaced: self._replace_target,
            FaultKind.target_slow: self._slow_target,
            FaultKind.target_failing: self._fail_target,
            FaultKind.target_leaves: self._list_leaving,
            FaultKind.target_announces: self._announce_leaving,
            FaultKind.target_pauses: self._pause_target,
            FaultKind.target_limits: self._limit_target,
            FaultKind.target_reassigned: self._reassign_target,
            FaultKind.links_cut: self._cut_links,
            FaultKind.list_down: self._fail_target_list,
            FaultKind.configure: self._configure,
            FaultKind.configure_race: self._configure_concurrently,
            FaultKind.configure_invalid: self._send_invalid,
            FaultKind.drain: self._drain,
            FaultKind.poison_request: self._repeat_poison,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and undo it after its duration.

        :param fault: the fault to inject.
        """
        began = time.monotonic()
        await self._actions[fault.kind](fault)
        injected = InjectedFault(fault.kind, fault.on, began, time.monotonic())
        self._evidence.injected_faults.append(injected)

    async def _disturb_link(self, fault: Fault) -> None:
        instance = self._instances.get(fault.on)
        proxy = (instance or self._targets[fault.on]).proxy
        proxy.switch_mode(_LINK_MODES[fault.kind])
        await asyncio.sleep(fault.for_s)
        proxy.switch_mode(Mode.pass_on)

    async def _kill(self, fault: Fault) -> None:
        instance = self._instances[fault.on]
        async with instance.restart_lock:
            await instance.kill()
            if fault.kind is FaultKind.wipe:
                instance.wipe()
            if fault.kind is FaultKind.torn_write:
                instance.tear_write()
            await asyncio.sleep(min(fault.for_s, MAX_DOWN_S))
            await instance.start()

    async def _terminate(self, fault: Fault) -> None:
        instance = self._instances[fault.on]
        async with instance.restart_lock:
            await instance.terminate()
            await asyncio.sleep(min(fault.for_s, MAX_DOWN_S))
            await instance.start()

    async def _kill_controls(self, _fault: Fault) -> None:
        controls = [
            instance
            for instance in self._instances.values()
            if instance.is_control
        ]
        async with contextlib.AsyncExitStack() as locks:
            for control in controls:
                await locks.enter_async_context(control.restart_lock)
            await asyncio.gather(*(instance.kill() for instance in controls))
            await asyncio.sleep(RESTART_S)
            await asyncio.gather(*(instance.start() for instance in controls))

    async def _pause(self, fault: Fault) -> None:
        instance = self._instances[fault.on]
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        instance.signal(signal.SIGCONT)

    async def _change_settings(self, fault: Fault) -> None:
        seeds = [
            f'{control.host}:{OPERATORS_PORT}'
            for control in self._instances.values()
            if control.is_control
        ]
        instance = self._instances[fault.on]
        instance.write_settings(seeds[1:])
        instance.signal(signal.SIGHUP)

    async def _fill_disk(self, fault: Fault) -> None:
        instance = self._instances[fault.on]
        instance.fill_disk(full=True)
        await asyncio.sleep(fault.for_s)
        instance.fill_disk(full=False)

    async def _cut_links(self, fault: Fault) -> None:
        proxies = [
            instance.proxy
            for instance in self._instances.values()
            if instance.is_control
        ]
        for proxy in proxies:
            proxy.switch_mode(Mode.refuse)
        await asyncio.sleep(fault.for_s)
        for proxy in proxies:
            proxy.switch_mode(Mode.pass_on)

    async def _replace_target(self, fault: Fault) -> None:
        target = self._targets[fault.on]
        target.proxy.reset()
        target.replace()

    async def _reassign_target(self, fault: Fault) -> None:
        target = self._targets[fault.on]
        own_service = fault.on.partition('-')[0]
        target.proxy.reset()
        target.replace(next(name for name in SERVICES if name != own_service))
        await asyncio.sleep(fault.for_s)
        target.proxy.reset()
        target.replace(own_service)

    async def _pause_target(self, fault: Fault) -> None:
        target = self._targets[fault.on]
        target.pausing = True
        await asyncio.sleep(fault.for_s)
        target.pausing = False

    async def _limit_target(self, fault: Fault) -> None:
        target = self._targets[fault.on]
        # Limits from 1 to 5 requests per second, by the time of the fault.
        target.limit_per_s = 1 + round(fault.at_s * 10) % 5
        await asyncio.sleep(fault.for_s)
        target.limit_per_s = 0

    async def _repeat_poison(self, fault: Fault) -> None:
        name = f'poison-{fault.at_s:.3f}'
        caller = Caller(
            name,
            list(self._instances.values()),
            self._evidence,
            random.Random(fault.at_s),  # noqa: S311
        )
        await caller.repeat(f'{POISON_PREFIX}-{name}', fault.for_s)

    async def _cut_from_targets(self, fault: Fault) -> None:
        host = self._instances[fault.on].host
        form = _CUT_FORMS[fault.kind]
        for target in self._targets.values():
            target.proxy.cut(host, form)
            # Without an end, the open connections would last for the cut.
            target.set_closing(closing=form is CutForm.live_on)
        await asyncio.sleep(fault.for_s)
        for target in self._targets.values():
            target.proxy.join(host)
            target.set_closing(closing=False)

    async def _slow_target(self, fault: Fault) -> None:
        target = self._targets[fault.on]
        target.slow = True
        await asyncio.sleep(fault.for_s)
        target.slow = False

    async def _fail_target(self, fault: Fault) -> None:
        target = self._targets[fault.on]
        target.failing = True
        await asyncio.sleep(fault.for_s)
        target.failing = False

    async def _list_leaving(self, fault: Fault) -> None:
        target = self._targets[fault.on]
        if not target.leaving:
            target.announcing = True
            target.leaving = True
            self._evidence.leaving[target.name] = time.monotonic()

    async def _announce_leaving(self, fault: Fault) -> None:
        target = self._targets[fault.on]
        target.announcing = True
        generation = target.generation
        await asyncio.sleep(fault.for_s)
        if target.generation == generation:
            await self._list_leaving(fault)

    async def _fail_target_list(self, fault: Fault) -> None:
        self._target_list.set_failing(failing=True)
        await asyncio.sleep(fault.for_s)
        self._target_list.set_failing(failing=False)

    async def _configure(self, _fault: Fault) -> None:
        await self._operator.configure()

    async def _configure_concurrently(self, _fault: Fault) -> None:
        await asyncio.gather(
            self._operator.configure(),
            self._operator.configure(),
        )

    async def _send_invalid(self, _fault: Fault) -> None:
        await self._operator.send_invalid()

    async def _drain(self, fault: Fault) -> None:
        await self._operator.drain(fault.on, drained=True)
        await asyncio.sleep(fault.for_s)
        await self._operator.drain(fault.on, drained=False)
