"""Requests of the command-line tool to the instances."""

import asyncio
from typing import TypeVar

import httpx
import msgspec
from returns.result import Failure, Result, Success

from .config_model import Change, ChangeOutcome, Unavailable
from .operator_api import Initialised, Status

#: Covers an election of 1 to 2 s and the restart of a replica.
SUBMIT_ATTEMPTS = 12
RETRY_PAUSE_S = 0.5
REQUEST_TIMEOUT_S = 5.0
#: An instance asks all others before it answers.
READ_TIMEOUT_S = 15.0

_Kind = TypeVar('_Kind')


class _ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error of this package or of the HTTP framework."""

    reason: str = ''
    detail: str = ''


class OperatorClient:
    """Talks to the operators' interface of instances.

    :param http: sends requests.
    :param url: address of any instance.
    :param pause_s: time between attempts.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        url: str,
        pause_s: float = RETRY_PAUSE_S,
    ) -> None:
        self._http = http
        self._url = url.rstrip('/')
        self._pause_s = pause_s

    @classmethod
    def from_url(cls, url: str, token: str) -> 'OperatorClient':
        """Build a client for an instance.

        :param url: address of any instance.
        :param token: operator token, empty for none.
        """
        headers = {'authorization': f'Bearer {token}'} if token else {}
        http = httpx.AsyncClient(
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
            trust_env=False,
        )
        return cls(http, url)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def read(
        self,
        path: str,
        kind: type[_Kind],
        params: dict[str, str] | None = None,
    ) -> Result[_Kind, str]:
        """Read one resource.

        :param path: path of the resource.
        :param kind: type of the answer.
        :param params: parameters of the query.
        """
        try:
            reply = await self._http.get(
                f'{self._url}{path}',
                params=params,
                timeout=READ_TIMEOUT_S,
            )
        except httpx.HTTPError as exc:
            return Failure(f'{self._url}: no answer: {_text(exc)}')
        if reply.status_code != httpx.codes.OK:
            return Failure(_describe(reply))
        return _decode(reply, kind)

    async def submit(self, change: Change) -> Result[ChangeOutcome, str]:
        """Send a change until it is decided, with the same id each time.

        :param change: the change.
        """
        controls = await self._controls()
        url, last = self._url, ''
        for attempt in range(SUBMIT_ATTEMPTS):
            sent = await self._post(url, '/v1/control/changes', change)
            outcome = sent.bind(_read_outcome)
            leader = ''
            if isinstance(outcome, Success):
                decided = outcome.unwrap()
                if not isinstance(decided, Unavailable):
                    return outcome
                last, leader = decided.reason, decided.leader
            else:
                last = outcome.failure()
            if isinstance(sent, Success) and _is_final(sent.unwrap()):
                return Failure(last)
            await asyncio.sleep(self._pause_s if attempt else 0)
            others = tuple(controls.values()) or (self._url,)
            url = controls.get(leader, others[attempt % len(others)])
        return Failure(f'no decision on change {change.change_id}: {last}')

    async def init(self) -> Result[Initialised, str]:
        """Make the empty control replica of the instance the first voter."""
        sent = await self._post(self._url, '/v1/control/init', None)
        if isinstance(sent, Failure):
            return Failure(sent.failure())
        reply = sent.unwrap()
        if reply.status_code != httpx.codes.OK:
            return Failure(_describe(reply))
        return _decode(reply, Initialised)

    async def _controls(self) -> dict[str, str]:
        status = await self.read('/v1/status', Status)
        if isinstance(status, Failure):
            return {}
        controls = status.unwrap().controls
        return {control.name: control.address for control in controls}

    async def _post(
        self,
        url: str,
        path: str,
        body: Change | None,
    ) -> Result[httpx.Response, str]:
        try:
            reply = await self._http.post(
                f'{url}{path}',
                content=b'' if body is None else msgspec.json.encode(body),
                headers={'content-type': 'application/json'},
            )
        except httpx.HTTPError as exc:
            return Failure(f'{url}: no answer: {_text(exc)}')
        return Success(reply)


def _read_outcome(reply: httpx.Response) -> Result[ChangeOutcome, str]:
    try:
        outcome: ChangeOutcome = msgspec.json.decode(
            reply.content,
            type=ChangeOutcome,
        )
    except msgspec.DecodeError:
        return Failure(_describe(reply))
    return Success(outcome)


def _is_final(reply: httpx.Response) -> bool:
    # Anything but a lack of service would fail again in the same way.
    return reply.status_code < httpx.codes.INTERNAL_SERVER_ERROR


def _describe(reply: httpx.Response) -> str:
    detail = reply.text[:200]
    try:
        error = msgspec.json.decode(reply.content, type=_ErrorBody)
    except msgspec.DecodeError:
        error = _ErrorBody()
    text = error.reason or error.detail or detail
    return f'{reply.url}: HTTP status {reply.status_code}: {text}'


def _decode(
    reply: httpx.Response,
    kind: type[_Kind],
) -> Result[_Kind, str]:
    try:
        return Success(msgspec.json.decode(reply.content, type=kind))
    except msgspec.DecodeError as exc:
        return Failure(f'{reply.url}: unexpected answer: {exc}')


def _text(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
