"""Choice of entry instances: for look-ups, requests to pass on and trials."""

import random
from collections.abc import Iterable

from ..rendezvous import ranked
from ..steering.targets import TargetEntry, TargetState
from .instance_config import Address, InstanceConfig
from .messages import EntryEndpoint

#: Most entry instances in one answer; the platform ignores any further ones.
MAX_LOOKUP_ENTRIES = 64
#: Half of the idle connections that are kept to another entry instance.
RELAY_CONNECTIONS = 8


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


def relay_peers(
    entries: Iterable[EntryEndpoint],
    config: InstanceConfig,
    allowed_regions: frozenset[str],
) -> list[TargetEntry]:
    """Return the other entry instances that may take a request.

    Those of the own region come first, in random order. All instances of a
    deployment use the same internal ports.

    :param entries: entry instances that accept requests.
    :param config: configuration of this instance.
    :param allowed_regions: regions that may serve it; empty for all.
    """
    others = [
        entry
        for entry in entries
        if entry.name != config.name
        and (not allowed_regions or entry.region in allowed_regions)
    ]
    random.shuffle(others)
    others.sort(key=lambda entry: entry.region != config.region)
    return [
        TargetEntry(
            name=entry.name,
            service='',
            address=Address(
                entry.request_address.host, config.peer_address.port
            ),
            domain=entry.domain,
            slots=RELAY_CONNECTIONS,
            state=TargetState.ready,
        )
        for entry in others
    ]


def turn(key: str, own: str, roster: Iterable[str]) -> int:
    """Return the place of an entry instance among all for a key, from 0.

    Instances with the same roster agree, without messages.

    :param key: the key.
    :param own: name of the instance.
    :param roster: names of the entry instances that accept requests.
    """
    return ranked(key, {own, *roster}).index(own)
