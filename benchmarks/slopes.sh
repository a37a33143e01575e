#!/usr/bin/env bash
# Measures all slopes of docs/CAPACITY.md and stores the raw output.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=src
for name in block_map lookup_cost admission_cost ownership_cost delivery_cost control_cost; do
    timeout -s KILL 150 .venv/bin/python -m "benchmarks.$name" > "benchmarks/slopes/$name.json" 2>/dev/null
done
