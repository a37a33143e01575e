"""A caller that sends requests over HTTP to the entry instances.

It looks up entry instances, caches the answers for their lifetime, and sends
an idempotency key with each request of a kind that must not be repeated.
"""

import asyncio
import itertools
import random

import httpx
import msgspec

from cuminhoist.lookup import EntryAddress, LookupAnswer
from cuminhoist.settings import RequestKind
from cuminhoist.types import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    KIND_HEADER,
)

_ids = itertools.count(1)


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a caller sends.

    :param request_id: id that the stand-in targets record and send back.
    :param client: address of the client, empty if there is none.
    :param body_bytes: size of the body; 0 makes it a GET request.
    :param deadline_ms: time in which the caller wants the answer.
    """

    request_id: str
    caller: str
    service: str
    kind: RequestKind
    client: str = ''
    body_bytes: int = 0
    deadline_ms: int = 2000


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a request as its caller sees it.

    :param result: ``answered``, ``refused``, ``failed`` (error status of a
        target) or ``lost`` (no answer from an entry instance).
    :param ran: whether a target ran it: ``run``, ``not-run`` or ``unknown``.
    :param reason: reason of a refusal, class of a connection error, or
        ``wrong answer`` if the answer belongs to another request.
    :param entry: name of the entry instance that answered.
    :param latency_s: time from the look-up to the outcome.
    """

    request: Request
    result: str
    ran: str
    reason: str = ''
    entry: str = ''
    latency_s: float = 0


class Caller:
    """Sends requests in the way that callers of the system should.

    :param lookup_addresses: HTTP addresses of instances for look-ups.
    :param seed: seed of the random order in which they are tried.
    """

    def __init__(
        self, lookup_addresses: tuple[str, ...], seed: int = 1
    ) -> None:
        self._lookup_addresses = lookup_addresses
        self._random = random.Random(seed)  # noqa: S311
        self._cache: dict[tuple[str, str, str], tuple[float, LookupAnswer]] = {}
        self._http = httpx.AsyncClient(
            trust_env=False,
            timeout=15,
            limits=httpx.Limits(max_connections=None),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def send(self, req: Request) -> Outcome:
        """Look up entry instances, send the request and return its outcome.

        If the connection to an entry instance fails before the request is
        sent, the next entry instance of the look-up is tried.

        :param req: the request.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await self._look_up(req)
        outcome = Outcome(request=req, result='lost', ran='not-run')
        for entry in answer.entries[:3]:
            outcome = await self._send_to(entry, req)
            if outcome.result != 'lost' or outcome.ran != 'not-run':
                break
        return msgspec.structs.replace(
            outcome,
            latency_s=loop.time() - started,
        )

    async def _look_up(self, req: Request) -> LookupAnswer:
        now = asyncio.get_running_loop().time()
        cache_key = (req.service, req.caller, req.client)
        cached = self._cache.get(cache_key)
        if cached is not None and cached[0] > now:
            return cached[1]
        for address in self._random.sample(
            self._lookup_addresses, len(self._lookup_addresses)
        ):
            answer = await self._fetch_lookup(address, req)
            if answer is not None and answer.entries:
                self._cache[cache_key] = (now + answer.lifetime_s, answer)
                return answer
        return cached[1] if cached else LookupAnswer(req.service, '', (), 0)

    async def _fetch_lookup(
        self, address: str, req: Request
    ) -> LookupAnswer | None:
        try:
            reply = await self._http.get(
                f'{address}/v1/lookup',
                params={
                    'service': req.service,
                    'caller': req.caller,
                    'client': req.client,
                },
                timeout=1,
            )
        except httpx.TransportError:
            return None
        return msgspec.json.decode(reply.content, type=LookupAnswer)

    async def _send_to(self, entry: EntryAddress, req: Request) -> Outcome:
        headers = {
            CALLER_HEADER: req.caller,
            KIND_HEADER: req.kind.name,
            DEADLINE_HEADER: str(req.deadline_ms),
        }
        if req.client:
            headers['x-cuminhoist-client'] = req.client
        if not req.kind.repeatable:
            headers[KEY_HEADER] = f'{entry.ticket}.{req.request_id}'
        url = f'{entry.address}/v1/services/{req.service}/{req.kind.name}'
        try:
            reply = await self._http.request(
                'POST' if req.body_bytes else 'GET',
                url,
                params={'id': req.request_id},
                headers=headers,
                content=b'x' * req.body_bytes if req.body_bytes else None,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return Outcome(request=req, result='lost', ran='not-run')
        except httpx.TransportError as exc:
            reason = type(exc).__name__
            return Outcome(
                request=req,
                result='lost',
                ran='unknown',
                reason=reason,
            )
        return _read_outcome(req, entry, reply)


def _read_outcome(
    req: Request,
    entry: EntryAddress,
    reply: httpx.Response,
) -> Outcome:
    if reply.headers.get('content-type') == 'application/problem+json':
        problem = reply.json()
        return Outcome(
            request=req,
            result='refused',
            ran=problem['ran'],
            reason=problem['reason'],
            entry=entry.name,
        )
    other_id = (
        reply.headers.get('x-request-id', req.request_id) != req.request_id
    )
    return Outcome(
        request=req,
        result='answered' if reply.is_success else 'failed',
        ran='run',
        reason='wrong answer' if other_id else '',
        entry=entry.name,
    )


def next_id() -> str:
    """Return a request id that is unique in this process."""
    return f'r{next(_ids)}'
