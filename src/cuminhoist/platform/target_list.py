"""Reads the platform's list of targets, page by page."""

import contextlib
import ipaddress
import re
from typing import Any

import httpx
import msgspec
from returns.result import Failure, Result, Success

from ..fleet.instance_config import Address
from ..fleet.target_feed import ListReading, TargetSource
from ..steering.targets import TargetEntry, TargetState

#: Timeout for one page, in seconds; the next poll reads the list again.
PAGE_TIMEOUT_S = 1.0
#: Limit on the pages of one list, as pages may refer to each other in a
#: cycle.
MAX_PAGES = 200
_MS = 1000
_OK = 200
#: Ids that can be sent to the target in a header.
_PRINTABLE = re.compile('[!-~]+')
_MAX_PORT = 65535


class _Page(msgspec.Struct, frozen=True):
    #: Entries by target id; each is decoded separately, as some are
    #: malformed.
    instances: dict[str, msgspec.Raw]
    next_page_token: str | None = None


class _Entry(msgspec.Struct, frozen=True):
    #: Name of a service, not of a target.
    backend: str
    address: str
    #: The failure domain.
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float = 0
    #: Unix time of the start of the target, in milliseconds.
    born: int = 0


class TargetListClient(TargetSource):
    """Reads the list of targets.

    :param address: address that serves the list.
    """

    def __init__(self, address: Address) -> None:
        self._url = f'http://{address}/instances'
        self._client = httpx.AsyncClient(
            timeout=PAGE_TIMEOUT_S,
            limits=httpx.Limits(max_connections=2),
            trust_env=False,
        )

    async def read(self) -> Result[ListReading, str]:
        """Return the list, or why it cannot be read."""
        targets: list[TargetEntry] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._read_page(token)
            if not isinstance(page, Success):
                return Failure(page.failure())
            content = page.unwrap()
            targets.extend(decode_entries(content.instances))
            token = content.next_page_token
            if not token:
                return Success(ListReading(tuple(targets)))
        return Failure('the list of targets has no last page')

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _read_page(self, token: str | None) -> Result[_Page, str]:
        query = {'page_token': token} if token else None
        try:
            answer = await self._client.get(self._url, params=query)
        except httpx.HTTPError as exc:
            return Failure(f'{type(exc).__name__}: {exc}')
        if answer.status_code != _OK:
            return Failure(f'status {answer.status_code}')
        # Invalid UTF-8 makes only the entry that contains it invalid.
        text = answer.content.decode('utf-8', 'replace')
        try:
            return Success(msgspec.json.decode(text, type=_Page))
        except msgspec.DecodeError as exc:
            return Failure(f'malformed page: {exc}')


def decode_entries(entries: dict[str, Any]) -> list[TargetEntry]:
    """Return the valid targets and skip malformed entries.

    :param entries: entries of a page by target id.
    """
    targets = []
    for name, raw in entries.items():
        # The decoding errors of msgspec are subclasses of ValueError.
        with contextlib.suppress(ValueError):
            wire = msgspec.json.decode(raw, type=_Entry)
            targets.append(_target_entry(name, wire))
    return targets


def _target_entry(name: str, wire: _Entry) -> TargetEntry:
    if _PRINTABLE.fullmatch(name) is None:
        raise ValueError(f'unreadable target id {name!r}')
    return TargetEntry(
        name=name,
        service=wire.backend,
        address=_parse_address(wire.address),
        domain=wire.zone,
        slots=max(wire.slots, 1),
        state=TargetState(wire.state),
        warmup_left_s=wire.cold_remaining_ms / _MS,
        started_at_ms=wire.born,
    )


def _parse_address(text: str) -> Address:
    host, _, port_text = text.rpartition(':')
    port = int(port_text)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'invalid port in the address {text!r}')
    return Address(str(ipaddress.IPv4Address(host)), port)
