#!/bin/sh
# Builds what the cases 6 to 10 start besides the balancer. Their stand-ins need Python's standard library alone, so
# this only checks that the build of the deploy file is there and that the stand-ins compile.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] && [ -d build/lib/brookreach ] || { echo "run the build of deploy/balancer.toml first"; exit 2; }
for file in review/common-2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    [ ! -f "$file" ] || .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
