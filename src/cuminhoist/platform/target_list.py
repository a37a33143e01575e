"""The platform's list of targets."""

import contextlib
from typing import Any

import httpx
import msgspec
from returns.result import Failure, Result, Success

from ..fleet.instance_config import Address
from ..steering.targets import TargetEntry, TargetState

#: A page that takes longer is given up; the next poll asks again.
PAGE_TIMEOUT_S = 1.0
#: Ends a list whose pages refer to each other.
MAX_PAGES = 200
_MS = 1000
_OK = 200


class _Page(msgspec.Struct, frozen=True):
    #: Entries by target id; each is decoded alone, as some are malformed.
    instances: dict[str, msgspec.Raw]
    next_page_token: str | None = None


class _Entry(msgspec.Struct, frozen=True):
    #: Name of a service, not of one upstream.
    backend: str
    address: str
    #: The failure domain.
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float = 0
    #: Unix time of its start, in milliseconds.
    born: int = 0


class TargetListClient:
    """Reads the list of targets.

    :param address: where the list is.
    """

    def __init__(self, address: Address) -> None:
        self._url = f'http://{address}/instances'
        self._client = httpx.AsyncClient(
            timeout=PAGE_TIMEOUT_S,
            limits=httpx.Limits(max_connections=2),
            trust_env=False,
        )

    async def read(self) -> Result[tuple[TargetEntry, ...], str]:
        """Return all targets, or why the list cannot be read."""
        found: list[TargetEntry] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._page(token)
            if not isinstance(page, Success):
                return Failure(page.failure())
            content = page.unwrap()
            found.extend(decode_entries(content.instances))
            token = content.next_page_token
            if not token:
                return Success(tuple(found))
        return Failure('the list has no last page')

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _page(self, token: str | None) -> Result[_Page, str]:
        query = {'page_token': token} if token else None
        try:
            reply = await self._client.get(self._url, params=query)
        except httpx.HTTPError as exc:
            return Failure(f'{type(exc).__name__}: {exc}')
        if reply.status_code != _OK:
            return Failure(f'status {reply.status_code}')
        # Bytes that are no text spoil only the entry that holds them.
        text = reply.content.decode('utf-8', 'replace')
        try:
            return Success(msgspec.json.decode(text, type=_Page))
        except msgspec.DecodeError as exc:
            return Failure(f'malformed page: {exc}')


def decode_entries(entries: dict[str, Any]) -> list[TargetEntry]:
    """Return the valid targets; others name no target to use.

    :param entries: entries of a page by target id.
    """
    found = []
    for name, raw in entries.items():
        # Decoding errors of the library are values errors as well.
        with contextlib.suppress(ValueError):
            wire = msgspec.json.decode(raw, type=_Entry)
            found.append(_target(name, wire))
    return found


def _target(name: str, wire: _Entry) -> TargetEntry:
    host, _, port = wire.address.rpartition(':')
    return TargetEntry(
        name=name,
        service=wire.backend,
        address=Address(host, int(port)),
        domain=wire.zone,
        slots=max(wire.slots, 1),
        state=TargetState(wire.state),
        warmup_left_s=wire.cold_remaining_ms / _MS,
        started_at_ms=wire.born,
    )
