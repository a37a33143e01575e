"""Finds the home domain of a client address.

Blocks of addresses are stored as sorted ranges of integers, one map for
IPv4 and one for IPv6. A look-up is one binary search.
"""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable

from .settings import AddressBlock
from .types import DomainName

#: Number in place of a domain for addresses that no block covers.
NO_DOMAIN = 0xFFFF
MAX_NUMBERED_DOMAINS = NO_DOMAIN

#: Only the first 64 bits of an IPv6 address are stored: prefixes of blocks
#: are at most 64 bits long, and the rest identifies a host.
_IPV6_KEY_BITS = 64

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class RangeMap:
    """Maps ranges of integer keys to 16-bit numbers, in two sorted arrays.

    Each range extends from its start to the start of the next. The arrays are
    changed in place, because two copies of a large map would not fit into the
    memory of a small instance.

    :param typecode: type code of the array of keys.
    """

    def __init__(self, typecode: str) -> None:
        self._starts = array(typecode, (0,))
        self._numbers = array('H', (NO_DOMAIN,))
        self._key_limit = 1 << (8 * self._starts.itemsize)

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._starts)

    @property
    def size_bytes(self) -> int:
        """Size of the two arrays in bytes."""
        per_range = self._starts.itemsize + self._numbers.itemsize
        return len(self._starts) * per_range

    def find(self, key: int) -> int:
        """Return the number of the range that holds a key.

        :param key: the key.
        """
        return self._numbers[bisect_right(self._starts, key) - 1]

    def assign(self, first_key: int, count: int, number: int) -> None:
        """Assign a number to consecutive keys, replacing older numbers.

        :param first_key: the first key.
        :param count: how many keys.
        :param number: their number.
        """
        end_key = first_key + count
        begin = self._split(first_key)
        end = (
            self._split(end_key)
            if end_key < self._key_limit
            else len(self._starts)
        )
        start_item = array(self._starts.typecode, (first_key,))
        self._starts[begin:end] = start_item  # noqa: WPS362
        self._numbers[begin:end] = array('H', (number,))  # noqa: WPS362
        self._merge(begin + 1)
        self._merge(begin)

    def extend_sorted(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Append sorted ranges that start at or after the last range.

        :param ranges: pairs of first key and number, sorted by key.
        """
        for start, number in ranges:
            if start == self._starts[-1]:
                self._numbers[-1] = number
            elif number != self._numbers[-1]:
                self._starts.append(start)
                self._numbers.append(number)

    def _split(self, key: int) -> int:
        index = bisect_right(self._starts, key) - 1
        if self._starts[index] == key:
            return index
        self._starts.insert(index + 1, key)
        self._numbers.insert(index + 1, self._numbers[index])
        return index + 1

    def _merge(self, index: int) -> None:
        if 0 < index < len(self._starts):
            if self._numbers[index] == self._numbers[index - 1]:
                self._starts.pop(index)
                self._numbers.pop(index)


class BlockMap:
    """Maps blocks of client addresses to home domains."""

    def __init__(self) -> None:
        self._ipv4 = RangeMap('I')
        self._ipv6 = RangeMap('Q')
        self._domains: list[DomainName] = []
        self._number_by_domain: dict[str, int] = {}

    @classmethod
    def from_blocks(cls, blocks: Iterable[AddressBlock]) -> 'BlockMap':
        """Build a map in which the longest matching prefix decides.

        :param blocks: blocks of client addresses.
        """
        block_map = cls()
        networks = [
            (ipaddress.ip_network(block.network), block.domain)
            for block in blocks
        ]
        networks.sort(key=lambda pair: pair[0].prefixlen)
        for network, domain in networks:
            block_map.assign(network, domain)
        return block_map

    def assign(self, network: Network, domain: DomainName) -> None:
        """Make a failure domain the home domain of a block.

        :param network: the block; for IPv6 a prefix of at most 64 bits.
        :param domain: its home domain.
        """
        number = self._number_of(domain)
        first_key = int(network.network_address)
        if network.version == 4:
            self._ipv4.assign(first_key, network.num_addresses, number)
            return
        shift = 128 - _IPV6_KEY_BITS
        count = max(network.num_addresses >> shift, 1)
        self._ipv6.assign(first_key >> shift, count, number)

    def find(self, address: str) -> DomainName | None:
        """Return the home domain of a client address, None if unknown.

        :param address: IP address as text.
        """
        try:
            parsed = ipaddress.ip_address(address)
        except ValueError:
            return None
        key = int(parsed)
        if parsed.version == 4:
            number = self._ipv4.find(key)
        else:
            number = self._ipv6.find(key >> (128 - _IPV6_KEY_BITS))
        return None if number == NO_DOMAIN else self._domains[number]

    def _number_of(self, domain: DomainName) -> int:
        number = self._number_by_domain.get(domain)
        if number is None:
            number = len(self._domains)
            if number >= MAX_NUMBERED_DOMAINS:
                raise ValueError(
                    f'more than {MAX_NUMBERED_DOMAINS} failure domains'
                )
            self._domains.append(domain)
            self._number_by_domain[domain] = number
        return number
