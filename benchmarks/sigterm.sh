#!/usr/bin/env bash
# Sends SIGTERM to one of two daemons under load; fails if a request is cut off.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=src
folder=$(mktemp -d)
python=.venv/bin/python
pids=()
cleanup() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap cleanup EXIT
$python -c "import pathlib, sys; from benchmarks import mini; mini.write_files(pathlib.Path(sys.argv[1]), 2)" "$folder"
$python -m benchmarks.serve standins & pids+=($!)
$python -m cuminhoist.daemon --settings "$folder/bench-0.json" & pids+=($!)
$python -m cuminhoist.daemon --settings "$folder/bench-1.json" & pids+=($!)
timeout -s KILL 120 $python -m benchmarks.sigterm --pid "${pids[2]}"
