"""Rendezvous hashing: assigns a key to one of several names.

Every process gets the same result without coordination, and only the keys
of a name that is added or removed are assigned anew.
"""

import functools
import hashlib
from collections.abc import Iterable

HASH_BYTES = 8
_CACHED_SCORES = 65536


def hash64(*parts: str) -> int:
    """Return a 64-bit hash that is equal in all processes.

    :param parts: the strings to hash, in order.
    """
    digest = hashlib.blake2b('|'.join(parts).encode(), digest_size=HASH_BYTES)
    return int.from_bytes(digest.digest())


@functools.lru_cache(maxsize=_CACHED_SCORES)
def score(key: str, name: str) -> int:
    """Return the score of a name for a key; the highest score is assigned.

    :param key: the key to assign.
    :param name: a candidate.
    """
    return hash64(key, name)


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by descending score for a key.

    :param key: the key to assign.
    :param names: the candidates.
    """
    return sorted(names, key=lambda name: (-score(key, name), name))


def highest_ranked(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest score for a key, if any.

    :param key: the key to assign.
    :param names: the candidates.
    """
    return max(names, key=lambda name: (score(key, name), name), default=None)
