#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python files, which are only compiled here.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path('.').glob('*/*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('compiles:', path)
PY
