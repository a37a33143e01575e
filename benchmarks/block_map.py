"""Cost of the block map at growing numbers of blocks."""

import random
import time

import msgspec

from cuminhoist.blocks import RangeMap

SIZES = (10_000, 100_000, 1_000_000, 4_900_000)
SITES = 460
LOOKUPS = 200_000
CHANGES = 200
BLOCK_ADDRESSES = 256


class BlockMapCost(msgspec.Struct, frozen=True):
    """Measured cost at one number of blocks."""

    blocks: int
    megabytes: float
    lookup_us: float
    change_us: float


def measure(blocks: int, seed: int) -> BlockMapCost:
    """Fill a map, then time look-ups and changes.

    :param blocks: number of blocks.
    :param seed: seed of the keys.
    """
    choice = random.Random(seed)  # noqa: S311
    found = RangeMap('I')
    found.extend_sorted(
        (BLOCK_ADDRESSES * number, number % SITES) for number in range(blocks)
    )
    top = BLOCK_ADDRESSES * blocks
    keys = [choice.randrange(top) for _ in range(LOOKUPS)]
    started = time.perf_counter()
    for key in keys:
        found.find(key)
    lookup_s = time.perf_counter() - started
    started = time.perf_counter()
    for key in keys[:CHANGES]:
        found.assign(key // 2, 1, key % SITES)
    change_s = time.perf_counter() - started
    return BlockMapCost(
        blocks,
        round(found.size_bytes / 1e6, 2),
        round(lookup_s / LOOKUPS * 1e6, 3),
        round(change_s / CHANGES * 1e6, 1),
    )


def main(seed: int = 1) -> tuple[BlockMapCost, ...]:
    """Return the cost at each size.

    :param seed: seed of the keys.
    """
    return tuple(measure(blocks, seed) for blocks in SIZES)


if __name__ == '__main__':
    print(msgspec.json.encode(main()).decode())  # noqa: WPS421
