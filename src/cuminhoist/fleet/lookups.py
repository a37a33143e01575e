"""Answers to callers that ask where to connect."""

from collections.abc import Iterable

from .instance_config import Address
from .messages import EntryEndpoint

#: Entry instances of one answer at most; the platform uses no more.
MAX_LOOKUP_ENTRIES = 64


def nearest_entries(
    entries: Iterable[EntryEndpoint],
    region: str,
    domain: str,
) -> list[Address]:
    """Return where a caller connects, the nearest first.

    Callers choose among them at random, so those of other regions are named
    only if the caller's region has none.

    :param entries: entry instances that take requests.
    :param region: region of the caller.
    :param domain: failure domain of the caller.
    """
    known = list(entries)
    near = [entry for entry in known if entry.region == region] or known
    near.sort(key=lambda entry: entry.domain != domain)
    return [entry.request_address for entry in near][:MAX_LOOKUP_ENTRIES]
