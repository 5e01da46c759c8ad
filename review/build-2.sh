#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library of
# Python 3.11 alone; the daemons come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in common-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    if [ -f "$file" ]; then python3 -m py_compile "$file"; fi
done
