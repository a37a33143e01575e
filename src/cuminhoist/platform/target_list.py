"""Reads the platform's list of targets, page by page.

Other writers add entries to the list. An entry that names no target to use is
left out and reported; the others of its page hold.
"""

import functools
import ipaddress
from collections.abc import Iterable
from typing import Annotated

import httpx
import msgspec
from returns.result import Failure, Result, Success

from ..bounded_read import get_bounded
from ..fleet.instance_config import Address
from ..fleet.rejected_entries import RejectedEntry
from ..fleet.target_feed import ListReading, TargetSource
from ..steering.targets import (
    MAX_NAME_CHARS,
    MAX_SLOTS,
    MAX_STARTED_AT_MS,
    MAX_WARMUP_S,
    TargetEntry,
    TargetState,
)
from .json_split import split_object

#: Longest silence within one page, in seconds; the next poll reads the list
#: again.
PAGE_TIMEOUT_S = 1.0
#: Longest time for one page, in seconds.
PAGE_LIMIT_S = 5.0
#: A longer page fails; pages have some ten kilobytes.
MAX_PAGE_BYTES = 4 * 1024 * 1024
#: Limit on the pages of one list, as pages may refer to each other in a
#: cycle.
MAX_PAGES = 200
_MS = 1000
_OK = 200
#: Characters of ids and faults in reports.
_REPORTED_CHARS = 64
#: Addresses whose parsed form is kept, as most are read again each second.
_CACHED_ADDRESSES = 4096
_MAX_WARMUP_MS = MAX_WARMUP_S * _MS

#: Ids that can be sent to the target in a header.
_TargetId = Annotated[
    str, msgspec.Meta(pattern=rf'\A[!-~]{{1,{MAX_NAME_CHARS}}}\Z')
]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]


class _Entry(msgspec.Struct, frozen=True):
    #: Name of a service, not of a target.
    backend: _Name
    address: str
    #: The failure domain.
    zone: _Name
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: TargetState
    #: Negative values are those of clocks that differ.
    cold_remaining_ms: Annotated[
        float, msgspec.Meta(ge=-_MAX_WARMUP_MS, le=_MAX_WARMUP_MS)
    ] = 0
    #: Unix time of the start of the target, in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_AT_MS)] = 0


class _SoundPage(msgspec.Struct, frozen=True):
    """A page without any odd entry."""

    instances: dict[_TargetId, _Entry]
    next_page_token: str | None = None


class Page(msgspec.Struct, frozen=True):
    """One page of the list.

    :param targets: its targets; a target may be listed twice.
    :param rejected: its entries that name no target to use.
    :param next_token: token of the next page; empty on the last one.
    """

    targets: tuple[TargetEntry, ...]
    rejected: tuple[RejectedEntry, ...] = ()
    next_token: str = ''


class TargetListClient(TargetSource):
    """Reads the list of targets.

    :param address: address that serves the list.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._url = f'http://{address}/instances'
        self._client = httpx.AsyncClient(
            timeout=PAGE_TIMEOUT_S,
            limits=httpx.Limits(max_connections=2),
            trust_env=False,
        )

    async def read(self) -> Result[ListReading, str]:
        """Return the list, or why it cannot be read."""
        targets: dict[str, TargetEntry] = {}
        rejected: list[RejectedEntry] = []
        token = ''
        for _ in range(MAX_PAGES):
            read = await self._read_page(token)
            if not isinstance(read, Success):
                return Failure(read.failure())
            page = read.unwrap()
            _add_targets(targets, page.targets)
            rejected.extend(page.rejected)
            token = page.next_token
            if not token:
                return Success(
                    ListReading(tuple(targets.values()), tuple(rejected))
                )
        return Failure('the list of targets has no last page')

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _read_page(self, token: str) -> Result[Page, str]:
        query = {'page_token': token} if token else None
        try:
            answer = await get_bounded(
                self._client, self._url, PAGE_LIMIT_S, MAX_PAGE_BYTES, query
            )
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            # No address can hold a token of many kilobytes.
            return Failure(f'{type(exc).__name__}: {exc}')
        if answer.status_code != _OK:
            return Failure(f'status {answer.status_code}')
        return decode_page(answer.content)


def decode_page(body: bytes) -> Result[Page, str]:
    """Return a page, or why its entries cannot be found.

    :param body: the page; bytes that are no UTF-8 make only the entry that
        contains them odd.
    """
    text = body.decode('utf-8', 'surrogateescape')
    try:
        return Success(_decode_sound_page(text))
    except (ValueError, RecursionError):
        # The decoding errors of msgspec are subclasses of ValueError.
        return _decode_odd_page(text)


def _decode_sound_page(text: str) -> Page:
    wire = msgspec.json.decode(text, type=_SoundPage)
    return Page(
        tuple(
            _target_entry(name, entry) for name, entry in wire.instances.items()
        ),
        next_token=wire.next_page_token or '',
    )


def _decode_odd_page(text: str) -> Result[Page, str]:
    """Decode each entry of a page by itself."""
    try:
        members = dict(split_object(text))
        entries = split_object(members['"instances"'])
        token = msgspec.json.decode(
            members.get('"next_page_token"', 'null'), type=str | None
        )
    except (ValueError, KeyError, RecursionError) as exc:
        return Failure(f'malformed page: {str(exc)[:_REPORTED_CHARS]}')
    decoded = [_decode_entry(*entry) for entry in entries]
    return Success(
        Page(
            tuple(one for one in decoded if isinstance(one, TargetEntry)),
            tuple(one for one in decoded if isinstance(one, RejectedEntry)),
            token or '',
        )
    )


def _decode_entry(key: str, text: str) -> TargetEntry | RejectedEntry:
    try:
        return _target_entry(
            msgspec.json.decode(key, type=_TargetId),
            msgspec.json.decode(text, type=_Entry),
        )
    except (ValueError, RecursionError) as exc:
        return _rejected(key, exc)


def _rejected(key: str, exc: Exception) -> RejectedEntry:
    name = ascii(key[: _REPORTED_CHARS + 2])[1:-1].strip('"')
    fault = str(exc)[: 2 * _REPORTED_CHARS]
    return RejectedEntry(name[:_REPORTED_CHARS], _kind_of(exc), fault)


def _kind_of(exc: Exception) -> str:
    if isinstance(exc, msgspec.ValidationError):
        return 'invalid'
    unreadable = (msgspec.DecodeError, RecursionError, UnicodeError)
    return 'unreadable' if isinstance(exc, unreadable) else 'invalid'


def _add_targets(
    targets: dict[str, TargetEntry], added: Iterable[TargetEntry]
) -> None:
    """Add targets; one that any entry shows as draining stays draining."""
    for entry in added:
        listed = targets.get(entry.name)
        if listed is None or listed.state is not TargetState.draining:
            targets[entry.name] = entry


def _target_entry(name: str, wire: _Entry) -> TargetEntry:
    return TargetEntry(
        name=name,
        service=wire.backend,
        address=_parse_address(wire.address),
        domain=wire.zone,
        slots=max(wire.slots, 1),
        state=wire.state,
        warmup_left_s=max(wire.cold_remaining_ms, 0) / _MS,
        started_at_ms=wire.born,
    )


@functools.lru_cache(maxsize=_CACHED_ADDRESSES)
def _parse_address(text: str) -> Address:
    address = Address.parse(text)
    return Address(str(ipaddress.IPv4Address(address.host)), address.port)
