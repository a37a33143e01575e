"""Targets leave while an entry of another writer is, or was, on the list."""

import asyncio

import fleet

DRAIN_S = fleet.BOUNDS['drain_ms'] / 1000
CONTACT_S = fleet.BOUNDS['contact_ms'] / 1000
#: A leaving target serves for ``drain_ms`` and a little longer, in seconds.
SERVES_S = DRAIN_S + 3.0
LEAVING_ZONES = ('aber-a', 'bangor-a')


async def traffic(client, results):
    """Send one-time requests of one zone at a low rate."""
    while True:
        results.append(await client.send('POST', '/publish/notice', 1500, b'notice'))
        await asyncio.sleep(0.08)


async def run(scratch, record, entry, gone_after_s=None):
    """Play the case; return whether DRAIN held.

    :param entry: the odd entry, as text of the list.
    :param gone_after_s: time after which the entry is gone, in seconds; None
        if it stays. The targets leave after that.
    """
    routes = [fleet.route('publish', '/publish/', 'unsafe', 'publisher', 1200, 300)]
    deployment, _ = await fleet.ready_deployment(
        scratch, record, routes, services=('publisher',), per_zone=1
    )
    results = []
    tasks = [
        asyncio.create_task(traffic(fleet.Client(deployment, zone), results))
        for zone in fleet.ZONES
        for _ in range(3)
    ]
    leaving = [each for each in deployment.targets if each.zone in LEAVING_ZONES]
    for target in deployment.targets:
        # Long enough that some requests run when a target ends.
        target.work_s = 0.2
    try:
        await asyncio.sleep(CONTACT_S)
        if fleet.DISRUPT:
            deployment.list.more.append(entry)
            record.say('an entry of another writer is on the list')
        await asyncio.sleep(2 if gone_after_s is None else gone_after_s)
        if gone_after_s is not None:
            deployment.list.more.clear()
            record.say('the entry is gone')
            await asyncio.sleep(CONTACT_S)
        for target in leaving:
            target.state = 'draining'
        shown_at = record.now()
        record.say(f'the list shows {[each.id for each in leaving]} as draining')
        await asyncio.sleep(SERVES_S)
        for target in leaving:
            await target.close()
            deployment.targets.remove(target)
        ended_at = record.now()
        record.say('these targets have ended')
        await asyncio.sleep(2)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        deployment.targets.extend(each for each in leaving if each not in deployment.targets)
        await deployment.end()
    late = [
        (at, request_id)
        for target in leaving
        for at, request_id in target.arrivals
        if at > shown_at + DRAIN_S
    ]
    late_ids = {request_id for _, request_id in late}
    lost = [(one, status) for one, status, _ in results if one in late_ids and status != 200]
    record.say(
        f'shown as draining at {shown_at:.3f}, ended at {ended_at:.3f};'
        f' requests that reached them over {DRAIN_S:g} s after the list showed it:'
        f' {len(late)}; the last at {max(late, default=(0, ""))[0]:.3f}; not answered'
        f' with success of these: {lost}; requests in all: {len(results)};'
        f' reads of the list: {deployment.list.reads}'
    )
    if len(results) < 200:
        raise fleet.CannotRun('no traffic')
    return not late
