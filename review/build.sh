#!/bin/sh
# The stand-ins are plain Python of the standard library: nothing is compiled, their sources are only checked.
cd "$(dirname "$0")/.." || exit 1
[ -x .venv/bin/python ] || { echo "first the build of deploy/balancer.toml"; exit 1; }
exec .venv/bin/python -c 'import ast, pathlib, tomllib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))'
