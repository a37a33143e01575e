"""Runs the standard set of benchmarks, as ``make bench`` does."""

import runpy
import sys

#: Modules that print their results as JSON; all together end in 5 minutes.
STANDARD_BENCHMARKS = (
    'block_map',
    'lookup_cost',
    'authentication_cost',
    'admission_cost',
    'decision_cost',
    'allowance_cost',
    'queue_cost',
    'leaving_cost',
    'ownership_cost',
    'delivery_cost',
)


def main() -> None:
    """Run the benchmarks one after the other."""
    for name in STANDARD_BENCHMARKS:
        sys.stderr.write(f'{name} ...\n')
        runpy.run_module(f'benchmarks.{name}', run_name='__main__')


if __name__ == '__main__':
    main()
