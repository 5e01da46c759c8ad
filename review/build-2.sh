#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They need the standard library of
# Python 3.11 alone; the daemons come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib
for folder in ("common-2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
'
