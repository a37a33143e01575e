"""An order that a suspended core machine held is applied after a newer one."""

import asyncio
import contextlib
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))

import fleet  # noqa: E402

ZONE = 'aber-a'
#: Suspension of one core machine, in seconds ("suspended for seconds").
FREEZE_S = 4.0
EVACUATE_S = fleet.BOUNDS['evacuate_ms'] / 1000
CONTACT_S = fleet.BOUNDS['contact_ms'] / 1000
#: Time for which the requests are watched, after all bounds have passed.
WATCHED_S = 10.0


async def traffic(client):
    """Send safe requests of one zone at a low rate."""
    while True:
        await client.send('GET', '/browse/set', 1200)
        await asyncio.sleep(0.08)


async def run(scratch, record):
    """Play the case; return whether EVAC held."""
    routes = [fleet.route('browse', '/browse/', 'safe', 'catalogue')]
    deployment, operator = await fleet.ready_deployment(
        scratch, record, routes, services=('catalogue',), per_zone=3
    )
    tasks = [
        asyncio.create_task(traffic(fleet.Client(deployment, zone)))
        for zone in fleet.ZONES
        for _ in range(2)
    ]
    suspended = deployment.cores[0]
    others = deployment.cores[1:]
    order = f'/-/evacuate/{ZONE}'
    try:
        await asyncio.sleep(2)
        await operator.must('POST', order, first=others)
        record.say(f'first evacuation of {ZONE} acknowledged')
        await asyncio.sleep(4)
        if fleet.DISRUPT:
            suspended.send_signal(signal.SIGSTOP)
        suspended_at = record.now()
        await asyncio.sleep(0.5)
        # The operator picks among all core machines; here it picks the
        # suspended one first, and another one a second later.
        await operator.must('DELETE', order, first=[suspended])
        record.say('end of the evacuation acknowledged')
        await asyncio.sleep(0.5)
        acknowledged_at = await operator.must('POST', order, first=others)
        record.say('second evacuation acknowledged')
        await asyncio.sleep(max(suspended_at + FREEZE_S - record.now(), 0))
        if fleet.DISRUPT:
            suspended.send_signal(signal.SIGCONT)
        resumed_at = record.now()
        # Nothing is judged before all machines are in touch again.
        judged_from = max(acknowledged_at + EVACUATE_S, resumed_at + CONTACT_S + 1)
        await asyncio.sleep(judged_from + WATCHED_S - record.now())
        judged_to = record.now()
        await operator.must('DELETE', order)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        with contextlib.suppress(ProcessLookupError):
            suspended.process.send_signal(signal.SIGCONT)
        await deployment.end()
    arrivals = {zone: 0 for zone in fleet.ZONES}
    for target in deployment.targets:
        for at, _ in target.arrivals:
            arrivals[target.zone] += judged_from <= at < judged_to
    record.say(
        f'second evacuation of {ZONE} acknowledged at {acknowledged_at:.3f} and'
        f' taken back after {judged_to:.3f}; requests that reached targets from'
        f' {judged_from:.3f} on, by zone: {arrivals}'
    )
    if not sum(arrivals.values()):
        raise fleet.CannotRun('no traffic')
    return not arrivals[ZONE]


fleet.play(__file__, run)
