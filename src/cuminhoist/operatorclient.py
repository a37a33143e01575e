"""Sends the requests of the command-line tool to instances.

Reads go to one instance. Changes go to the control leader and are resent under
their id until there is a decision, so that an election or a lost answer
neither loses a change nor applies it twice.
"""

import asyncio
from typing import TypeVar

import httpx
import msgspec
from returns.result import Failure, Result, Success

from .config_model import Change, ChangeOutcome, Unavailable
from .operator_api import Initialised, Status

#: Enough to outlast an election of 1 to 2 s or the restart of a replica.
MAX_SUBMIT_ATTEMPTS = 12
RETRY_PAUSE_S = 0.5
REQUEST_TIMEOUT_S = 5.0
#: Longer than for changes: for some reads, an instance first queries all
#: other instances.
READ_TIMEOUT_S = 15.0

_AnswerBody = TypeVar('_AnswerBody')


class _ErrorBody(msgspec.Struct, frozen=True):
    """Body of an HTTP error, of this package or of the HTTP framework.

    :param reason: error text of a change outcome.
    :param detail: error text of the framework, or of a problem document.
    """

    reason: str = ''
    detail: str = ''


class OperatorClient:
    """Client of the operators' HTTP interface.

    :param http: HTTP client that sends the requests.
    :param url: address of any instance.
    :param pause_s: time between two attempts to submit, in seconds.
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
        answer_type: type[_AnswerBody],
        params: dict[str, str] | None = None,
    ) -> Result[_AnswerBody, str]:
        """Read a resource from the instance.

        :param path: path of the resource.
        :param answer_type: type of the answer's body.
        :param params: query parameters.
        """
        try:
            answer = await self._http.get(
                f'{self._url}{path}',
                params=params,
                timeout=READ_TIMEOUT_S,
            )
        except httpx.HTTPError as exc:
            return Failure(
                f'{self._url}: no answer: {_describe_exception(exc)}'
            )
        if answer.status_code != httpx.codes.OK:
            return Failure(_describe(answer))
        return _decode(answer, answer_type)

    async def submit(self, change: Change) -> Result[ChangeOutcome, str]:
        """Send a change, and resend it until it is decided.

        An undecided attempt is followed by one to the leader, if the answer
        names it, or else to the next control instance.

        :param change: the change.
        """
        control_urls = await self._control_urls()
        url, last_error = self._url, ''
        for attempt in range(MAX_SUBMIT_ATTEMPTS):
            post_result = await self._post(url, '/v1/control/changes', change)
            outcome = post_result.bind(_read_outcome)
            leader = ''
            if isinstance(outcome, Success):
                change_outcome = outcome.unwrap()
                if not isinstance(change_outcome, Unavailable):
                    return outcome
                last_error, leader = (
                    change_outcome.reason,
                    change_outcome.leader,
                )
            else:
                last_error = outcome.failure()
            if isinstance(post_result, Success) and _is_final(
                post_result.unwrap()
            ):
                return Failure(last_error)
            await asyncio.sleep(self._pause_s if attempt else 0)
            urls = tuple(control_urls.values()) or (self._url,)
            url = control_urls.get(leader, urls[attempt % len(urls)])
        return Failure(
            f'no decision on change {change.change_id}: {last_error}'
        )

    async def init(self) -> Result[Initialised, str]:
        """Initialise a cluster with the empty replica as first voter."""
        post_result = await self._post(self._url, '/v1/control/init', None)
        if isinstance(post_result, Failure):
            return Failure(post_result.failure())
        answer = post_result.unwrap()
        if answer.status_code != httpx.codes.OK:
            return Failure(_describe(answer))
        return _decode(answer, Initialised)

    async def _control_urls(self) -> dict[str, str]:
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
            answer = await self._http.post(
                f'{url}{path}',
                content=b'' if body is None else msgspec.json.encode(body),
                headers={'content-type': 'application/json'},
            )
        except httpx.HTTPError as exc:
            return Failure(f'{url}: no answer: {_describe_exception(exc)}')
        return Success(answer)


def _read_outcome(answer: httpx.Response) -> Result[ChangeOutcome, str]:
    try:
        outcome: ChangeOutcome = msgspec.json.decode(
            answer.content,
            type=ChangeOutcome,
        )
    except (msgspec.DecodeError, RecursionError):
        return Failure(_describe(answer))
    return Success(outcome)


def _is_final(answer: httpx.Response) -> bool:
    # Only after a server error can another attempt succeed.
    return answer.status_code < httpx.codes.INTERNAL_SERVER_ERROR


def _describe(answer: httpx.Response) -> str:
    text_start = answer.text[:200]
    try:
        error = msgspec.json.decode(answer.content, type=_ErrorBody)
    except (msgspec.DecodeError, RecursionError):
        error = _ErrorBody()
    text = error.reason or error.detail or text_start
    return f'{answer.url}: HTTP status {answer.status_code}: {text}'


def _decode(
    answer: httpx.Response,
    answer_type: type[_AnswerBody],
) -> Result[_AnswerBody, str]:
    try:
        return Success(msgspec.json.decode(answer.content, type=answer_type))
    except (msgspec.DecodeError, RecursionError) as exc:
        return Failure(f'{answer.url}: unexpected answer: {exc}')


def _describe_exception(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
