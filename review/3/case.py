"""A target's failure reaches a client as a success."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))

import fleet  # noqa: E402

#: Share of its requests that the faulty target fails (srv_grey: up to 0.45).
FAILED_SHARE = 0.1
#: Share of its answers that it spoils (garble, "extra late": up to 0.03).
SPOILT_SHARE = 0.03
CLIENTS_PER_ZONE = 3
WATCHED_S = 40.0


class FaultyTarget(fleet.Target):
    """Fails some requests, and sends parts of second answers late.

    Where an answer to a request is expected, it sends the beginning of a
    second answer to the request before, breaks it off within its head, and
    goes on with the answer.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.answered = {}
        self.spoilt = {}

    async def answer(self, method, target, headers, body):
        status, extra, content = await super().answer(method, target, headers, body)
        request_id = headers.get('x-request-id', '')
        if not status.startswith('200'):
            return status, extra, content
        number = len(self.answered) + 1
        if number * FAILED_SHARE // 1 > (number - 1) * FAILED_SHARE // 1:
            status, content = '500 Internal Server Error', b''
        self.answered[request_id] = int(status[:3])
        may_spoil = len(self.spoilt) + 1 <= SPOILT_SHARE * number
        former = list(self.answered)[-2] if number > 1 else ''
        if fleet.DISRUPT and status.startswith('500') and may_spoil and former:
            second = (
                f'200 OK\r\nX-Request-Id: {former}\r\nX-Server-Stamp: {self.id}.1\r\n'
                f'X-Server-Load: 0,0,3\r\nContent-Length: {len(fleet.body_of(former))}\r\n\r\n'
            )
            part = second[: second.index(self.id) + 5]
            self.spoilt[request_id] = former
            self._record.note(f'{self.id} sends part of a second answer to {former} before the answer {status[:3]} to {request_id}')
            status = f'{part}HTTP/1.1 {status}'
        return status, extra, content


async def traffic(client, results):
    """Send one-time requests of one zone at a low rate."""
    while True:
        results.append(await client.send('POST', '/publish/notice', 1500, b'notice'))
        await asyncio.sleep(0.05)


async def run(scratch, record):
    """Play the case; return whether MIXED held."""
    routes = [fleet.route('publish', '/publish/', 'unsafe', 'publisher', 1200, 300)]
    plain, fleet.Target = fleet.Target, _one_faulty(fleet.Target)
    try:
        deployment, _ = await fleet.ready_deployment(
            scratch, record, routes, services=('publisher',), per_zone=2
        )
    finally:
        fleet.Target = plain
    faulty = next(each for each in deployment.targets if isinstance(each, FaultyTarget))
    results = []
    tasks = [
        asyncio.create_task(traffic(fleet.Client(deployment, zone), results))
        for zone in fleet.ZONES
        for _ in range(CLIENTS_PER_ZONE)
    ]
    try:
        await asyncio.sleep(WATCHED_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.end()
    statuses = {one: status for one, status, _ in results}
    failed = [one for one, status in faulty.answered.items() if status == 500]
    mixed = [one for one in failed if statuses.get(one) == 200]
    record.say(
        f'requests: {len(results)}; answers of the faulty target: {len(faulty.answered)},'
        f' failures: {len(failed)}, spoilt answers: {len(faulty.spoilt)}'
    )
    record.say(f'failures of the target that the client got as 200: {len(mixed)} {mixed}')
    if len(failed) < 10:
        raise fleet.CannotRun('the faulty target got too few requests')
    return not mixed


def _one_faulty(sound):
    """Return a class that makes the first target a faulty one."""
    made = []

    def make(*args, **options):
        made.append(1)
        kind = FaultyTarget if len(made) == 1 else sound
        return kind(*args, **options)

    return make


fleet.play(__file__, run)
