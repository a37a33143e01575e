"""Which entry instances a caller should use."""

import hashlib

import msgspec

from .settings import Instance, Topology

LIFETIME_S = 10.0


class EntryAddress(msgspec.Struct, frozen=True):
    """An entry instance in a look-up answer."""

    name: str
    domain: str
    address: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """Entry instances in the order in which to try them.

    :param lifetime_s: how long clients may cache the answer, in seconds.
    """

    entries: tuple[EntryAddress, ...]
    lifetime_s: float


def _score(caller: str, name: str) -> bytes:
    return hashlib.blake2b(f'{caller}|{name}'.encode()).digest()


class Lookup:
    """Orders the entry instances for callers.

    :param topology: the deployment.
    :param domain: failure domain of this instance.
    """

    def __init__(self, topology: Topology, domain: str) -> None:
        self._topology = topology
        self._domain = domain

    def find(self, caller: str, leaving: frozenset[str]) -> LookupAnswer:
        """Return the entry instances for a caller.

        :param caller: name of the caller.
        :param leaving: names of instances to leave out.
        """
        found = [
            entry
            for entry in self._topology.entries()
            if entry.name not in leaving
        ]
        found.sort(key=lambda entry: self._rank(caller, entry))
        return LookupAnswer(
            tuple(
                EntryAddress(
                    entry.name,
                    entry.domain,
                    f'http://{entry.host}:{entry.http_port}',
                )
                for entry in found
            ),
            LIFETIME_S,
        )

    def _rank(self, caller: str, entry: Instance) -> tuple[int, bytes]:
        region = self._topology.region_of(self._domain)
        distance = 2
        if entry.domain == self._domain:
            distance = 0
        elif self._topology.region_of(entry.domain) == region:
            distance = 1
        return distance, _score(caller, entry.name)
