"""Choice of the entry instances that a look-up answer names."""

from collections.abc import Iterable

from .instance_config import Address
from .messages import EntryEndpoint

#: Most entry instances in one answer; the platform ignores any further ones.
MAX_LOOKUP_ENTRIES = 64


def nearest_entries(
    entries: Iterable[EntryEndpoint],
    region: str,
    domain: str,
) -> list[Address]:
    """Return the addresses that a caller may connect to, nearest first.

    Callers choose among them at random, so entry instances of other regions
    are included only if the caller's region has none.

    :param entries: entry instances that accept requests.
    :param region: region of the caller.
    :param domain: failure domain of the caller.
    """
    candidates = list(entries)
    nearest = [
        entry for entry in candidates if entry.region == region
    ] or candidates
    nearest.sort(key=lambda entry: entry.domain != domain)
    return [entry.request_address for entry in nearest][:MAX_LOOKUP_ENTRIES]
