"""Callers that send requests to entry instances and record the answers.

A caller keeps its connection until a request on it fails, also when the
look-up no longer names the connected instance. So instances that stop,
restart or lose their links meet requests on open connections.
"""

import asyncio
import random
import time

import httpx

from cuminhoist.problems import PROBLEM_TYPE

from .evidence import Call, Evidence
from .processes import CALLERS_PORT, LOOKUPS_PORT, Instance
from .upstreams import answer_body

#: Mean rate of one caller, in requests a second.
REQUESTS_PER_S = 5.0
#: Deadline that a caller sends with each request, in seconds.
DEADLINE_S = 1.4
#: After this time a look-up is sent to another instance, in seconds.
LOOKUP_TIMEOUT_S = 1.0
#: Time for which a caller uses the answer to a look-up, in seconds.
LOOKUP_TTL_S = 2.0
#: Number of different objects that requests name.
OBJECT_COUNT = 40
#: Fraction of the requests that may run at most once.
AT_MOST_ONCE_FRACTION = 0.4
#: Pause between two tries of a request that is sent again and again, seconds.
REPEAT_INTERVAL_S = 0.1
HOST = 'data.example'
_OK = 200


class Caller:
    """One caller with at most one connection.

    :param name: prefix of its request ids.
    :param instances: all instances; each answers look-ups.
    :param evidence: gets a record of each request.
    :param rng: source of its random choices.
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
        self._entry_addresses: list[str] = []
        self._instance_names = {
            f'{instance.host}:{CALLERS_PORT}': instance.name
            for instance in instances
        }
        self._looked_up_at: float | None = None
        self._connected_to = ''
        self._source_host = '0.0.0.0'  # noqa: S104
        self._client: httpx.AsyncClient | None = None
        self._request_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._look_up()
                if self._entry_addresses:
                    await self._request()
                await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_S))
        finally:
            await self._close_connection()

    async def repeat(self, path: str, for_s: float) -> None:
        """Send the same request again and again, to any entry instance.

        Each try comes from another address.

        :param path: its path.
        :param for_s: how long to go on, in seconds.
        """
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            self._connected_to = self._rng.choice(
                [
                    address
                    for address, name in self._instance_names.items()
                    if name.startswith('entry')
                ]
            )
            self._source_host = f'127.0.1.{self._rng.randrange(1, 100)}'
            await self._request_on_connection(path, key=0, once=False)
            await self._close_connection()
            await asyncio.sleep(REPEAT_INTERVAL_S)

    async def _look_up(self) -> None:
        last_at = self._looked_up_at
        if last_at and last_at + LOOKUP_TTL_S > time.monotonic():
            return
        for instance in self._rng.sample(self._instances, 3):
            address = f'{instance.host}:{LOOKUPS_PORT}'
            url = f'http://{address}/-/resolve'
            query = {'name': HOST, 'region': '', 'zone': instance.domain}
            try:
                async with httpx.AsyncClient(
                    timeout=LOOKUP_TIMEOUT_S,
                    trust_env=False,
                    verify=False,  # noqa: S501
                ) as client:
                    answer = await client.get(url, params=query)
            except httpx.HTTPError:
                continue
            if answer.status_code == _OK:
                self._entry_addresses = answer.json()['addresses']
                self._looked_up_at = time.monotonic()
                return

    async def _request(self) -> None:
        # The connection is used until a request on it fails, also when the
        # look-up no longer names the connected instance.
        if self._client is None:
            self._connected_to = self._rng.choice(self._entry_addresses)
        once = self._rng.random() < AT_MOST_ONCE_FRACTION
        key = self._rng.randrange(OBJECT_COUNT)
        path = f'/publish/{key}' if once else f'/browse/{key}'
        call = await self._request_on_connection(path, key, once)
        if not call.status or call.faulty:
            await self._close_connection()
            self._looked_up_at = None

    async def _request_on_connection(
        self, path: str, key: int, once: bool
    ) -> Call:
        if self._client is None:
            self._client = httpx.AsyncClient(
                transport=httpx.AsyncHTTPTransport(
                    limits=httpx.Limits(max_connections=1, keepalive_expiry=60),
                    local_address=self._source_host,
                    verify=False,  # noqa: S501
                ),
                timeout=httpx.Timeout(DEADLINE_S + 1, connect=1),
            )
        self._request_count += 1
        call = await self._send(
            f'{self._name}-{self._request_count}', path, key, once
        )
        self._evidence.calls.append(call)
        return call

    async def _send(
        self,
        request_id: str,
        path: str,
        key: int,
        once: bool,
    ) -> Call:
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(round(DEADLINE_S * 1000)),
            'Cookie': f'X-Affinity-Key={key}',
        }
        sent_at = time.monotonic()
        status = 0
        error = ''
        faulty = ''
        leaving_target = ''
        refusal = ''
        if self._client is None:
            raise RuntimeError('the caller has no open connection')
        try:
            answer = await self._client.request(
                'POST' if once else 'GET',
                f'http://{self._connected_to}{path}',
                headers=headers,
                content=b'x' * 200 if once else None,
            )
        except httpx.HTTPError as exc:
            error = f'{type(exc).__name__}: {exc}'
        else:
            status = answer.status_code
            faulty = _describe_defect(answer, request_id)
            refusal = _refusal_reason(answer)
            if answer.headers.get('server-leaving') == '1':
                leaving_target = answer.headers.get('x-server-stamp', '')
        return Call(
            request_id=request_id,
            instance=self._instance_names.get(self._connected_to, ''),
            path=path,
            once=once,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            error=error,
            faulty=faulty,
            leaving_target=leaving_target,
            refusal=refusal,
        )

    async def _close_connection(self) -> None:
        if self._client is not None:
            await self._client.aclose()
            self._client = None


def _refusal_reason(answer: httpx.Response) -> str:
    """Return why an instance refused a request; empty if it did not."""
    if answer.headers.get('content-type') != PROBLEM_TYPE:
        return ''
    return str(answer.json()['reason'])


def _describe_defect(answer: httpx.Response, request_id: str) -> str:
    """Tell what is wrong with a 200 answer; empty if nothing is."""
    if answer.status_code != _OK:
        return ''
    if answer.headers.get('x-request-id') != request_id:
        return 'it carries the id of another request'
    if 'x-server-stamp' not in answer.headers:
        return 'it does not name its target'
    if answer.content != answer_body(request_id):
        return 'its body differs from the body that the target sent'
    return ''
