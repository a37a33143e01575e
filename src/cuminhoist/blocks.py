"""Map from client addresses to home failure domains."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable

from .settings import AddressBlock
from .types import DomainName

#: Site number of addresses that no block covers.
NO_DOMAIN = 0xFFFF
MAX_NUMBERED_DOMAINS = NO_DOMAIN

#: Blocks of IPv6 are at most 64 bits long; the rest is the host part.
_IPV6_KEY_BITS = 64

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class RangeMap:
    """Ranges of integer keys with a 16-bit number each, in two arrays.

    Each range runs from its start to the next start. The arrays are changed
    in place, because two copies of a large map would not fit into the memory
    of a small instance.

    :param typecode: array type code of the keys.
    """

    def __init__(self, typecode: str) -> None:
        self._starts = array(typecode, (0,))
        self._sites = array('H', (NO_DOMAIN,))
        self._limit = 1 << (8 * self._starts.itemsize)

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._starts)

    @property
    def size_bytes(self) -> int:
        """Size of the two arrays in bytes."""
        per_range = self._starts.itemsize + self._sites.itemsize
        return len(self._starts) * per_range

    def find(self, key: int) -> int:
        """Return the number of the range that holds a key.

        :param key: the key.
        """
        return self._sites[bisect_right(self._starts, key) - 1]

    def assign(self, first: int, count: int, site: int) -> None:
        """Give a number to a run of keys, over what stood there.

        :param first: first key of the run.
        :param count: length of the run.
        :param site: number of the run.
        """
        end = first + count
        begin_at = self._split(first)
        end_at = self._split(end) if end < self._limit else len(self._starts)
        start = array(self._starts.typecode, (first,))
        self._starts[begin_at:end_at] = start  # noqa: WPS362
        self._sites[begin_at:end_at] = array('H', (site,))  # noqa: WPS362
        self._merge(begin_at + 1)
        self._merge(begin_at)

    def extend_sorted(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Append ranges that are sorted and lie after all others.

        :param ranges: pairs of start and number.
        """
        for start, site in ranges:
            if start == self._starts[-1]:
                self._sites[-1] = site
            elif site != self._sites[-1]:
                self._starts.append(start)
                self._sites.append(site)

    def _split(self, key: int) -> int:
        index = bisect_right(self._starts, key) - 1
        if self._starts[index] == key:
            return index
        self._starts.insert(index + 1, key)
        self._sites.insert(index + 1, self._sites[index])
        return index + 1

    def _merge(self, index: int) -> None:
        if 0 < index < len(self._starts):
            if self._sites[index] == self._sites[index - 1]:
                self._starts.pop(index)
                self._sites.pop(index)


class BlockMap:
    """Finds the home failure domain of a client address."""

    def __init__(self) -> None:
        self._ipv4 = RangeMap('I')
        self._ipv6 = RangeMap('Q')
        self._domains: list[DomainName] = []
        self._numbers: dict[str, int] = {}

    @classmethod
    def from_blocks(cls, blocks: Iterable[AddressBlock]) -> 'BlockMap':
        """Build a map; a longer prefix goes before a shorter one.

        :param blocks: blocks of client addresses.
        """
        found = cls()
        networks = [
            (ipaddress.ip_network(block.network), block.domain)
            for block in blocks
        ]
        networks.sort(key=lambda pair: pair[0].prefixlen)
        for network, domain in networks:
            found.assign(network, domain)
        return found

    def assign(self, network: Network, domain: DomainName) -> None:
        """Make a failure domain the home of a block.

        :param network: the block; at most 64 bits long for IPv6.
        :param domain: its home.
        """
        site = self._number(domain)
        first = int(network.network_address)
        if network.version == 4:
            self._ipv4.assign(first, network.num_addresses, site)
            return
        shift = 128 - _IPV6_KEY_BITS
        count = max(network.num_addresses >> shift, 1)
        self._ipv6.assign(first >> shift, count, site)

    def find(self, address: str) -> DomainName | None:
        """Return the home of a client address, or None if unknown.

        :param address: IP number in text form.
        """
        try:
            parsed = ipaddress.ip_address(address)
        except ValueError:
            return None
        key = int(parsed)
        if parsed.version == 4:
            site = self._ipv4.find(key)
        else:
            site = self._ipv6.find(key >> (128 - _IPV6_KEY_BITS))
        return None if site == NO_DOMAIN else self._domains[site]

    def _number(self, domain: DomainName) -> int:
        number = self._numbers.get(domain)
        if number is None:
            number = len(self._domains)
            if number >= MAX_NUMBERED_DOMAINS:
                raise ValueError(
                    f'more than {MAX_NUMBERED_DOMAINS} failure domains'
                )
            self._domains.append(domain)
            self._numbers[domain] = number
        return number
