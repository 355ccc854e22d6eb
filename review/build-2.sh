#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python and need no build: only checks that they compile.
# The nodes are built by the deploy file.
set -eu
cd "$(dirname "$0")"
for file in common-2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
