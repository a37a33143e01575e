"""Polls the platform's list of live and leaving instances and upstreams.

After a failed poll, the last list stays valid, so a failure of the platform
does not change which instances are in use.
"""

import asyncio
from collections.abc import Callable

import httpx
import msgspec
from returns.result import Failure, Result, Success

from .bounded_read import get_bounded
from .logging_setup import logger

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 2.0
#: A longer list fails.
MAX_LIST_BYTES = 4 * 1024 * 1024

_log = logger('platform')


class PlatformList(msgspec.Struct, frozen=True):
    """The platform's list; it is delayed and may be wrong.

    :param live: names of instances and upstreams listed as running.
    :param leaving: names of instances and upstreams listed as leaving.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class _ListReply(msgspec.Struct, frozen=True):
    """The reply of the platform; both fields are required."""

    live: frozenset[str]
    leaving: frozenset[str]


class PlatformPoller:
    """Reads the platform's list at a fixed interval.

    :param url: address of the list; empty for no polls.
    :param apply: called with each list that was read.
    :param transport: HTTP transport of the polls; None for the default one.
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
        ) as client:
            while True:
                polled = await self._poll(client)
                if isinstance(polled, Success):
                    self._apply(polled.unwrap())
                else:
                    _log.warning(
                        'Could not read the platform list: {}.',
                        polled.failure(),
                    )
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(
        self, client: httpx.AsyncClient
    ) -> Result[PlatformList, str]:
        try:
            reply = await get_bounded(
                client, self._url, POLL_TIMEOUT_S, MAX_LIST_BYTES
            )
        except httpx.HTTPError as exc:
            return Failure(repr(exc))
        if reply.status_code != httpx.codes.OK:
            return Failure(f'status {reply.status_code}')
        try:
            reply_list = msgspec.json.decode(reply.content, type=_ListReply)
        except (msgspec.DecodeError, RecursionError) as exc:
            return Failure(str(exc))
        return Success(PlatformList(reply_list.live, reply_list.leaving))
