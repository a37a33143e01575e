"""The platform's list of live and leaving instances and upstreams."""

import asyncio
from collections.abc import Callable

import httpx
import msgspec
from returns.result import Failure, Result, Success

from .logging_setup import logger

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 2.0

_log = logger('platform')


class PlatformList(msgspec.Struct, frozen=True):
    """What the platform says; it lags and may mislead.

    :param live: names of instances and upstreams said to run.
    :param leaving: names of instances and upstreams said to leave.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class _Reply(msgspec.Struct, frozen=True):
    """The list on the wire; a reply without a field is no list."""

    live: frozenset[str]
    leaving: frozenset[str]


class PlatformPoller:
    """Reads the platform's list at a fixed interval.

    :param url: address of the list; empty for none.
    :param apply: called with each list that was read.
    :param transport: carries the polls; None for the network.
    """

    def __init__(
        self,
        url: str,
        apply: Callable[[PlatformList], None],
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._url = url
        self._apply = apply
        self._transport = transport

    async def run(self) -> None:
        """Poll until cancelled; a failed poll leaves the last list valid."""
        if not self._url:
            return
        async with httpx.AsyncClient(
            trust_env=False,
            transport=self._transport,
        ) as http:
            while True:
                polled = await self._poll(http)
                if isinstance(polled, Success):
                    self._apply(polled.unwrap())
                else:
                    _log.warning('No platform list: {}.', polled.failure())
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self, http: httpx.AsyncClient) -> Result[PlatformList, str]:
        try:
            reply = await http.get(self._url, timeout=POLL_TIMEOUT_S)
        except httpx.HTTPError as exc:
            return Failure(repr(exc))
        if reply.status_code != httpx.codes.OK:
            return Failure(f'status {reply.status_code}')
        try:
            listed = msgspec.json.decode(reply.content, type=_Reply)
        except msgspec.DecodeError as exc:
            return Failure(str(exc))
        return Success(PlatformList(listed.live, listed.leaving))
