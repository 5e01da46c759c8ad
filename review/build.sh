#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs that
# use the libraries of the daemon, which the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib, aiohttp
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
