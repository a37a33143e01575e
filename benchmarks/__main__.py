"""Runs the standard set of measurements; see ``make bench``."""

import runpy
import sys

#: Each prints its results as JSON; the whole set ends within 5 minutes.
STANDARD = (
    'block_map',
    'lookup_cost',
    'admission_cost',
    'decision_cost',
    'ownership_cost',
    'delivery_cost',
)


def main() -> None:
    """Run each measurement in turn."""
    for name in STANDARD:
        sys.stderr.write(f'{name} ...\n')
        runpy.run_module(f'benchmarks.{name}', run_name='__main__')


if __name__ == '__main__':
    main()
