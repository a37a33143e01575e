"""The operator numbers its configs from zero.

Guards against a first config that is acknowledged and then not held: it is
never in force and cannot be read back.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab3'))

from lab import Client, World, quiet_loop, route, run_case  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FIRST_VERSION = 0 if TROUBLE else 1
#: contact_ms and config_apply_ms together, and some more.
SETTLED_S = 10.0
#: At the end of a day the operator reads for at least contact_ms.
READ_S = 6.0


async def main():
    world = World(FOLDER, controls=3, fronts=1)
    quiet_loop()
    try:
        return await play(world)
    finally:
        await world.stop()


async def play(world):
    await world.add_targets('catalogue', 6)
    await world.start()
    routes = [route('r-first', '/first/', 'catalogue')]
    status = await world.configure(FIRST_VERSION, routes, ['catalogue'])
    if status != 200:
        # A config that is refused is not lost.
        world.report(f'the first config was answered with {status}')
        return 0 if status else 2
    await asyncio.sleep(SETTLED_S)
    statuses = []
    for _, _, host in world.fronts * 10:
        caller = Client(world, host)
        statuses.append((await caller.request('GET', '/first/a'))[1])
        caller.close()
    held = []
    ends_at = time.monotonic() + READ_S
    while time.monotonic() < ends_at:
        for _, _, host in world.controls:
            status, body = await world.operate('GET', '/-/config', host=host)
            world.record.line(f'GET /-/config at {host}: {status}')
            if status == 200:
                held.append(json.loads(body)['version'])
        await asyncio.sleep(0.5)
    world.report(f'requests answered: {sorted(set(statuses))}')
    world.report(f'versions read back: {sorted(set(held))}')
    broken = f'r{FIRST_VERSION}' not in held
    world.report('CONFIG broken' if broken else 'CONFIG held')
    return int(broken)


run_case(main)
