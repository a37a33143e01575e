"""Rendezvous hashing: which of several names is responsible for a key."""

import functools
import hashlib
from collections.abc import Iterable

HASH_BYTES = 8
_CACHED_SCORES = 65536


def hash64(*parts: str) -> int:
    """Return a stable 64-bit hash of some names.

    :param parts: the names, in order.
    """
    digest = hashlib.blake2b('|'.join(parts).encode(), digest_size=HASH_BYTES)
    return int.from_bytes(digest.digest())


@functools.lru_cache(maxsize=_CACHED_SCORES)
def score(key: str, name: str) -> int:
    """Return the weight of a name for a key.

    :param key: what is to be assigned.
    :param name: a candidate.
    """
    return hash64(key, name)


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in order of responsibility for a key.

    :param key: what is to be assigned.
    :param names: the candidates.
    """
    return sorted(names, key=lambda name: (-score(key, name), name))


def highest_ranked(key: str, names: Iterable[str]) -> str | None:
    """Return the name that is responsible for a key.

    :param key: what is to be assigned.
    :param names: the candidates.
    """
    return max(names, key=lambda name: (score(key, name), name), default=None)
