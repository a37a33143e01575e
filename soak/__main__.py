"""Command line that plays soaks for one seed or for a series of seeds."""

import asyncio
import collections
import pathlib
import sys
import tempfile

import fire
import msgspec
from rich.console import Console

from .checks import find_violations
from .plan import PLAN_VERSION
from .run import Soak

#: Length of the traffic of one soak, in seconds, unless a flag sets it.
DEFAULT_LENGTH_S = 30.0

_console = Console(highlight=False, soft_wrap=True)


class Commands:
    """Plays soaks, which run the real programs and inject faults."""

    def one(
        self,
        seed: int,
        length_s: float = DEFAULT_LENGTH_S,
        keep: str = '',
        plan_version: int = PLAN_VERSION,
        former: str = '',
    ) -> None:
        """Play one seed; the exit status is 1 if a check is violated.

        :param seed: seed of the fault plan and of all random choices.
        :param length_s: length of the traffic, in seconds.
        :param keep: folder for logs, settings, disks, plan.json and
            evidence.json; empty to keep nothing.
        :param plan_version: version of the fault plan.
        :param former: checkout of a former version, which is replaced by the
            present one, or the other way round; empty for no upgrade.
        """
        former_build = pathlib.Path(former).resolve() if former else None
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(keep or scratch).resolve()
            soak = Soak(seed, length_s, folder, plan_version, former_build)
            evidence = asyncio.run(soak.run())
        violations = find_violations(evidence)
        counts = collections.Counter(call.status for call in evidence.calls)
        if keep:
            (folder / 'plan.json').write_bytes(msgspec.json.encode(soak.plan))
            encoded = msgspec.json.encode(evidence)
            (folder / 'evidence.json').write_bytes(encoded)
        for violation in violations:
            _console.print(f'seed {seed}: {violation}')
        statuses = dict(sorted(counts.items()))
        _console.print(
            f'seed {seed}: {len(violations)} violations, statuses {statuses}'
        )
        if violations:
            sys.exit(1)

    def series(
        self,
        first: int,
        count: int = 50,
        jobs: int = 4,
        length_s: float = DEFAULT_LENGTH_S,
        keep: str = '',
        former: str = '',
    ) -> None:
        """Play many seeds, several at a time.

        :param first: the first seed.
        :param count: number of consecutive seeds.
        :param jobs: number of soaks at a time; each has six processes.
        :param length_s: length of the traffic of each soak, in seconds.
        :param keep: folder that gets one subfolder per seed, as for ``one``.
        :param former: checkout of a former version, as for ``one``.
        """
        failed = asyncio.run(
            _play_seeds(first, count, jobs, length_s, keep, former),
        )
        _console.print(
            f'{count} seeds, {len(failed)} with violations: {failed}'
        )
        if failed:
            sys.exit(1)


async def _play_seeds(
    first_seed: int,
    count: int,
    jobs: int,
    length_s: float,
    keep: str,
    former: str,
) -> list[int]:
    """Play each seed in its own process; return the seeds that failed."""
    job_slots = asyncio.Semaphore(jobs)
    failed: list[int] = []

    async def play(seed: int) -> None:
        arguments = [f'--seed={seed}', f'--length_s={length_s}']
        if keep:
            arguments.append(f'--keep={keep}/{seed}')
        if former:
            arguments.append(f'--former={former}')
        async with job_slots:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'soak',
                'one',
                *arguments,
            )
            if await process.wait():
                failed.append(seed)

    await asyncio.gather(
        *(play(first_seed + number) for number in range(count))
    )
    return sorted(failed)


if __name__ == '__main__':
    fire.Fire(Commands)
