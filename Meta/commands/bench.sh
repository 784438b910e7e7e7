#!/usr/bin/env bash
# Runs the policy bench on virtual time: [--json FILE] [--only NAME]; fails when a bound breaks.
set -euo pipefail
bash Meta/commands/build.sh
exec Build/Benchmarks/Policy/policy_bench "$@"
