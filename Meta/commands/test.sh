#!/usr/bin/env bash
# Builds, then runs every test; further arguments go to ctest.
set -euo pipefail
bash Meta/commands/build.sh
ctest --test-dir Build --output-on-failure -j 4 "$@"
