"""A config adds a route whose only allowed region is another one's.

Guards against a route that callers of other regions never get served on,
although the targets of its region have free slots and no fault is injected.
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
REGIONS = {'north-a': 'north', 'south-a': 'south', 'west-a': 'west'}
TARGETS_PER_ZONE = 5
WORK_S = 0.25
#: Requests a second of the callers of each zone on the first route. The 15
#: slots of the north can run 60 a second.
RATES = {'north-a': 36.0, 'south-a': 10.0, 'west-a': 10.0}
#: Requests a second of callers in the south on the route that is added.
ADDED_RATE = 6.0
#: Time after the acknowledgement from which requests are judged; more than
#: config_apply_ms and contact_ms.
JUDGED_FROM_S = 8.0
LENGTH_S = 30.0
MIN_REQUESTS = 20
MIN_FRACTION = 0.25


async def main():
    world = World(FOLDER, controls=3, fronts=1, regions=REGIONS)
    quiet_loop()
    try:
        return await play(world)
    finally:
        await world.stop()


async def play(world):
    for zone in REGIONS:
        await world.add_targets(
            'catalogue', TARGETS_PER_ZONE, zones=[zone], work_s=WORK_S
        )
    await world.start()
    first = route('r-first', '/first/', 'catalogue')
    homes = ['north'] if TROUBLE else []
    added = route('r-added', '/added/', 'catalogue', allowed_regions=homes)
    if await world.configure(1, [first], ['catalogue']) != 200:
        return 2
    if not await world.wait_ready():
        return 2
    counts = collections.defaultdict(collections.Counter)
    running = []
    began = time.monotonic()

    async def send(host, prefix):
        caller = Client(world, host)
        sent_s = time.monotonic() - began
        path = f'{prefix}{random.getrandbits(32):x}'
        _, status = await caller.request('GET', path)
        caller.close()
        if JUDGED_FROM_S <= sent_s <= LENGTH_S - 3.0:
            counts[prefix][status] += 1

    async def send_all(host, prefix, per_s):
        async with asyncio.TaskGroup() as group:
            while time.monotonic() - began < LENGTH_S:
                group.create_task(send(host, prefix))
                await asyncio.sleep(random.expovariate(per_s))

    async def watch():
        while time.monotonic() - began < LENGTH_S:
            running.append(
                sum(
                    len(target.running)
                    for target in world.targets
                    if target.zone == 'north-a'
                )
            )
            await asyncio.sleep(0.05)

    if await world.configure(2, [first, added], ['catalogue']) != 200:
        return 2
    async with asyncio.TaskGroup() as group:
        group.create_task(watch())
        for _, zone, host in world.fronts:
            group.create_task(send_all(host, '/first/', RATES[zone]))
            if zone == 'south-a':
                group.create_task(send_all(host, '/added/', ADDED_RATE))
    served = {
        prefix: count[200] / max(count.total(), 1)
        for prefix, count in counts.items()
    }
    for prefix, count in counts.items():
        world.report(f'{prefix}: {dict(count)} served {served[prefix]:.3f}')
    slots = 3 * TARGETS_PER_ZONE
    mean = sum(running) / len(running)
    world.report(f'slots in use in the north: {mean:.1f} of {slots}')
    if counts['/first/'].total() < MIN_REQUESTS or served['/first/'] < 0.5:
        return 2
    broken = (
        counts['/added/'].total() >= MIN_REQUESTS
        and served['/added/'] < MIN_FRACTION * served['/first/']
    )
    world.report('CONFIG broken' if broken else 'CONFIG held')
    return int(broken)


run_case(main)
