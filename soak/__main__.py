"""Command line of the soak."""

import asyncio
import collections
import pathlib
import sys
import tempfile

import fire
import msgspec
from rich.console import Console

from .checks import violations
from .run import Soak

#: Length of the traffic of one soak, in seconds.
LENGTH_S = 30.0

_console = Console(highlight=False, soft_wrap=True)


class Commands:
    """Plays soaks: the real programs, and faults from outside."""

    def one(
        self,
        seed: int,
        length_s: float = LENGTH_S,
        keep: str = '',
    ) -> None:
        """Play one seed; the exit status is 1 if anything is violated.

        :param seed: seed of the faults.
        :param length_s: length of the traffic, in seconds.
        :param keep: folder that keeps logs, settings and disks.
        """
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(keep or scratch).resolve()
            soak = Soak(seed, length_s, folder)
            evidence = asyncio.run(soak.run())
        found = violations(evidence)
        statuses = collections.Counter(call.status for call in evidence.calls)
        if keep:
            (folder / 'plan.json').write_bytes(msgspec.json.encode(soak.plan))
            seen = msgspec.json.encode(evidence)
            (folder / 'evidence.json').write_bytes(seen)
        for text in found:
            _console.print(f'seed {seed}: {text}')
        answers = dict(sorted(statuses.items()))
        _console.print(
            f'seed {seed}: {len(found)} violations, statuses {answers}'
        )
        if found:
            sys.exit(1)

    def series(
        self,
        first: int,
        count: int = 50,
        jobs: int = 4,
        length_s: float = LENGTH_S,
        keep: str = '',
    ) -> None:
        """Play many seeds, several at a time.

        :param first: the first seed.
        :param count: how many seeds.
        :param jobs: how many soaks run at once; each has six processes.
        :param length_s: length of the traffic of each, in seconds.
        :param keep: folder that keeps what each seed left.
        """
        failed = asyncio.run(_series(first, count, jobs, length_s, keep))
        _console.print(
            f'{count} seeds, {len(failed)} with violations: {failed}'
        )
        if failed:
            sys.exit(1)


async def _series(
    first: int,
    count: int,
    jobs: int,
    length_s: float,
    keep: str,
) -> list[int]:
    free = asyncio.Semaphore(jobs)
    failed: list[int] = []

    async def play(seed: int) -> None:
        arguments = [f'--seed={seed}', f'--length_s={length_s}']
        if keep:
            arguments.append(f'--keep={keep}/{seed}')
        async with free:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'soak',
                'one',
                *arguments,
            )
            if await process.wait():
                failed.append(seed)

    await asyncio.gather(*(play(first + number) for number in range(count)))
    return sorted(failed)


if __name__ == '__main__':
    fire.Fire(Commands)
