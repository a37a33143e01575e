"""The targets of one zone are down for some seconds and come back cold.

Guards against a route that is refused from then on, because requests that ran
beside the crash are taken for its cause.
"""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab3'))

from lab import Client, World, quiet_loop, route, run_case  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
TARGETS = 20
#: The disruption, as a day of the site file has it: a zone's targets are down.
ZONE = 'north-b'
DOWN_S = 4.0
COLD_S = 3.0
CRASH_AT_S = 5.0
#: Steady state: the targets have been back for more than contact_ms and the
#: time in which they are cold.
JUDGED_FROM_S = CRASH_AT_S + DOWN_S + 8.0
LENGTH_S = JUDGED_FROM_S + 12.0
#: The rule: at least so many requests on a route that was added later, served
#: less than a quarter as often as those on the first routes.
MIN_REQUESTS = 20
MIN_FRACTION = 0.25


async def main():
    world = World(FOLDER, controls=3, fronts=1)
    quiet_loop()
    try:
        return await play(world)
    finally:
        await world.stop()


async def play(world):
    await world.add_targets('dispatch', TARGETS, work_s=0.6)
    await world.start()
    first = route('r-view', '/view/', 'dispatch', 'safe', timeout_ms=4000)
    later = route('r-confirm', '/confirm/', 'dispatch', 'unsafe', 4000)
    if await world.configure(1, [first], ['dispatch']) != 200:
        return 2
    if not await world.wait_ready():
        return 2
    if await world.configure(2, [first, later], ['dispatch']) != 200:
        return 2
    await asyncio.sleep(3.0)
    began = time.monotonic()
    counts = {'view': collections.Counter(), 'confirm': collections.Counter()}

    async def client(number, kind):
        host = world.fronts[number % len(world.fronts)][2]
        caller = Client(world, host, f'127.9.9.{number}')
        while time.monotonic() - began < LENGTH_S:
            sent_s = time.monotonic() - began
            if kind == 'confirm':
                # A driver confirms a delivery; the requests have no body.
                sent = caller.request('POST', '/confirm/sack', b'', 4000)
            else:
                path = f'/view/{random.getrandbits(32):x}'
                sent = caller.request('GET', path, b'', 4000)
            _, status = await sent
            if JUDGED_FROM_S <= sent_s <= LENGTH_S - 4.0:
                counts[kind][status] += 1
            await asyncio.sleep(random.uniform(0.05, 0.15))

    async def crash():
        await asyncio.sleep(CRASH_AT_S)
        if not TROUBLE:
            return
        hit = [target for target in world.targets if target.zone == ZONE]
        for target in hit:
            paths = list(target.running.values())
            world.record.line(f'down {target.identity} running {paths}')
            target.crash()
        # A crashed target remains on the list for some seconds.
        await asyncio.sleep(2.0)
        for target in hit:
            target.listed = False
        await asyncio.sleep(DOWN_S - 2.0)
        for target in hit:
            await target.start(cold_s=COLD_S)
            world.record.line(f'start {target.identity}')

    async with asyncio.TaskGroup() as group:
        group.create_task(crash())
        for number in range(1, 65):
            kind = 'confirm' if number <= 58 else 'view'
            group.create_task(client(number, kind))
    served = {
        kind: count[200] / max(count.total(), 1)
        for kind, count in counts.items()
    }
    for kind, count in counts.items():
        world.report(f'{kind}: {dict(count)} served {served[kind]:.3f}')
    if counts['view'].total() < MIN_REQUESTS or served['view'] < 0.5:
        return 2
    broken = (
        counts['confirm'].total() >= MIN_REQUESTS
        and served['confirm'] < MIN_FRACTION * served['view']
    )
    world.report('CONFIG broken' if broken else 'CONFIG held')
    return int(broken)


run_case(main)
