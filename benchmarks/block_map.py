"""Measures memory, look-up and change cost of the block map by its size."""

import random
import time

import msgspec

from cuminhoist.blocks import RangeMap

BLOCK_COUNTS = (10_000, 100_000, 1_000_000, 4_900_000)
SITES = 460
LOOKUPS = 200_000
CHANGES = 200
ADDRESSES_PER_BLOCK = 256


class BlockMapCost(msgspec.Struct, frozen=True):
    """Memory and time per operation at one number of blocks."""

    blocks: int
    megabytes: float
    lookup_us: float
    change_us: float


def measure(blocks: int, seed: int) -> BlockMapCost:
    """Fill a map, then measure its look-ups and changes.

    :param blocks: number of blocks.
    :param seed: seed of the random addresses.
    """
    rng = random.Random(seed)  # noqa: S311
    block_map = RangeMap('I')
    block_map.extend_sorted(
        (ADDRESSES_PER_BLOCK * number, number % SITES)
        for number in range(blocks)
    )
    end = ADDRESSES_PER_BLOCK * blocks
    addresses = [rng.randrange(end) for _ in range(LOOKUPS)]
    started = time.perf_counter()
    for address in addresses:
        block_map.find(address)
    lookup_s = time.perf_counter() - started
    started = time.perf_counter()
    for address in addresses[:CHANGES]:
        block_map.assign(address // 2, 1, address % SITES)
    change_s = time.perf_counter() - started
    return BlockMapCost(
        blocks,
        round(block_map.size_bytes / 1e6, 2),
        round(lookup_s / LOOKUPS * 1e6, 3),
        round(change_s / CHANGES * 1e6, 1),
    )


def main(seed: int = 1) -> tuple[BlockMapCost, ...]:
    """Return the cost at each number of blocks.

    :param seed: seed of the random addresses.
    """
    return tuple(measure(blocks, seed) for blocks in BLOCK_COUNTS)


if __name__ == '__main__':
    print(msgspec.json.encode(main()).decode())  # noqa: WPS421
