"""Callers that keep connections open until their instance is gone."""

import asyncio
import random
import time

import httpx

from .evidence import Call, Evidence
from .processes import CALLERS_PORT, LOOKUPS_PORT, Instance
from .upstreams import answer_body

#: Requests a second of one caller.
PER_S = 5.0
#: Time that a caller waits for an answer, in seconds.
LEFT_S = 1.4
#: A look-up that takes longer is tried at another instance, in seconds.
LOOKUP_S = 1.0
#: A look-up answer is used this long, in seconds.
LOOKUP_TTL_S = 2.0
#: Objects that requests are about.
OBJECT_COUNT = 40
#: Part of the requests that may run once only.
ONCE_PART = 0.4
HOST = 'data.example'
_OK = 200


class Caller:
    """One caller with one connection.

    :param name: part of its request ids.
    :param instances: all instances; each answers look-ups.
    :param evidence: takes its requests.
    :param rng: source of its choices.
    """

    def __init__(
        self,
        name: str,
        instances: list[Instance],
        evidence: Evidence,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._instances = instances
        self._evidence = evidence
        self._rng = rng
        self._entries: list[str] = []
        self._names = {
            f'{one.host}:{CALLERS_PORT}': one.name for one in instances
        }
        self._looked_up_at: float | None = None
        self._entry = ''
        self._client: httpx.AsyncClient | None = None
        self._count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._look_up()
                if self._entries:
                    await self._request()
                await asyncio.sleep(self._rng.expovariate(PER_S))
        finally:
            await self._leave()

    async def _look_up(self) -> None:
        known_at = self._looked_up_at
        if known_at and known_at + LOOKUP_TTL_S > time.monotonic():
            return
        for instance in self._rng.sample(self._instances, 3):
            address = f'{instance.host}:{LOOKUPS_PORT}'
            url = f'http://{address}/-/resolve'
            query = {'name': HOST, 'region': '', 'zone': instance.domain}
            try:
                async with httpx.AsyncClient(
                    timeout=LOOKUP_S,
                    trust_env=False,
                    verify=False,  # noqa: S501
                ) as client:
                    reply = await client.get(url, params=query)
            except httpx.HTTPError:
                continue
            if reply.status_code == _OK:
                self._entries = reply.json()['addresses']
                self._looked_up_at = time.monotonic()
                return

    async def _request(self) -> None:
        # An open connection is used until it fails, also if the look-up no
        # longer names its instance.
        if self._client is None:
            self._entry = self._rng.choice(self._entries)
            self._client = httpx.AsyncClient(
                limits=httpx.Limits(max_connections=1, keepalive_expiry=60),
                timeout=httpx.Timeout(LEFT_S + 1, connect=1),
                trust_env=False,
                verify=False,  # noqa: S501
            )
        self._count += 1
        once = self._rng.random() < ONCE_PART
        key = self._rng.randrange(OBJECT_COUNT)
        path = f'/publish/{key}' if once else f'/browse/{key}'
        call = await self._send(f'{self._name}-{self._count}', path, key, once)
        self._evidence.calls.append(call)
        if not call.status or call.faulty:
            await self._leave()
            self._looked_up_at = None

    async def _send(self, number: str, path: str, key: int, once: bool) -> Call:
        headers = {
            'Host': HOST,
            'X-Request-Id': number,
            'X-Deadline-Ms': str(round(LEFT_S * 1000)),
            'Cookie': f'X-Affinity-Key={key}',
        }
        sent_at = time.monotonic()
        status = 0
        error = ''
        faulty = ''
        if self._client is None:
            raise RuntimeError('the caller has no connection')
        try:
            reply = await self._client.request(
                'POST' if once else 'GET',
                f'http://{self._entry}{path}',
                headers=headers,
                content=b'x' * 200 if once else None,
            )
        except httpx.HTTPError as exc:
            error = f'{type(exc).__name__}: {exc}'
        else:
            status = reply.status_code
            faulty = _fault_of(reply, number)
        return Call(
            request_id=number,
            instance=self._names.get(self._entry, ''),
            path=path,
            once=once,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            error=error,
            faulty=faulty,
        )

    async def _leave(self) -> None:
        if self._client is not None:
            await self._client.aclose()
            self._client = None


def _fault_of(reply: httpx.Response, request_id: str) -> str:
    if reply.status_code != _OK:
        return ''
    if reply.headers.get('x-request-id') != request_id:
        return 'it belongs to another request'
    if 'x-server-stamp' not in reply.headers:
        return 'it does not name its target'
    if reply.content != answer_body(request_id):
        return 'its body is not what the target sent'
    return ''
