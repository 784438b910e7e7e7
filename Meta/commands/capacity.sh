#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from: [--only=ROLE]
set -euo pipefail
bash Meta/commands/build.sh
exec Build/Benchmarks/Capacity/capacity "$@"
