#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: they are
# Python of the standard library, so that compiling shows whether they load.
set -e
cd "$(dirname "$0")"
for file in common-2/*.py [6-9]/*.py 10/*.py; do
    [ ! -f "$file" ] || python3 -c \
        'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
