#!/usr/bin/env bash
# Starts the servers that benchmarks/baseline.py measures; stops them after it.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
export PYTHONPATH=src
python=.venv/bin/python
pids=()
cleanup() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap cleanup EXIT
$python -c "import pathlib, sys; from benchmarks import mini; mini.write_files(pathlib.Path(sys.argv[1]))" "$folder"
$python -m benchmarks.serve bare & pids+=($!)
$python -m benchmarks.serve standins & pids+=($!)
$python -m cuminhoist.daemon --settings "$folder/bench-0.json" & pids+=($!)
timeout -s KILL 240 $python -m benchmarks.baseline "$@"
