#!/usr/bin/env bash
# The stand-ins are Python scripts that use the standard library only: there is nothing to build. This checks that they
# can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys, tomllib; sys.exit(0 if sys.version_info >= (3, 11) else "python3 is older than 3.11")'
for script in standins/*.py [0-9]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script"
done
