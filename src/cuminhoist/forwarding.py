"""One attempt of a request at a target."""

import abc
from collections.abc import AsyncIterator

import httpx
import msgspec
from returns.result import Failure, Result, Success

from .problems import Refusal
from .settings import Target
from .types import NOT_RUN_HEADER, Ran, Reason

Headers = list[tuple[bytes, bytes]]


class Attempt(msgspec.Struct, frozen=True):
    """What is sent to a target.

    :param timeout_s: time left until the caller's deadline, in seconds.
    """

    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes]
    timeout_s: float


class Answer(msgspec.Struct, frozen=True):
    """The head of a target's answer and the stream of its body."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]


class TargetClient(abc.ABC):
    """Sends attempts to targets; never repeats one by itself."""

    @abc.abstractmethod
    async def send(
        self,
        target: Target,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the head of the answer.

        :param target: where to send it.
        :param attempt: what to send.
        """


class HttpxTargetClient(TargetClient):
    """A target client on httpx with one client for each target."""

    def __init__(self) -> None:
        self._clients: dict[str, httpx.AsyncClient] = {}

    async def send(
        self,
        target: Target,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the head of the answer.

        :param target: where to send it.
        :param attempt: what to send.
        """
        client = self._client(target)
        req = client.build_request(
            attempt.method,
            f'http://{target.host}:{target.port}{attempt.path}',
            headers=attempt.headers,
            content=attempt.body,
            timeout=attempt.timeout_s,
        )
        try:
            response = await client.send(req, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Failure(Refusal(ran=Ran.not_run, reason=Reason.no_target))
        except httpx.TimeoutException:
            return Failure(
                Refusal(ran=Ran.unknown, reason=Reason.target_timeout)
            )
        except httpx.TransportError:
            return Failure(Refusal(ran=Ran.unknown, reason=Reason.target_lost))
        if NOT_RUN_HEADER in response.headers:
            await response.aclose()
            return Failure(
                Refusal(ran=Ran.not_run, reason=Reason.target_refused)
            )
        return Success(
            Answer(
                response.status_code,
                response.headers.raw,
                response.aiter_raw(),
            )
        )

    def _client(self, target: Target) -> httpx.AsyncClient:
        client = self._clients.get(target.name)
        if client is None:
            client = httpx.AsyncClient(
                limits=httpx.Limits(max_connections=target.slots),
                trust_env=False,
            )
            self._clients[target.name] = client
        return client

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()
