#!/usr/bin/env bash
# Compares processor times within one run, which must keep their bounds, then shows them; arguments go to the benchmark.
set -euo pipefail
bash Meta/commands/build.sh
Build/Benchmarks/Micro/ratio_bench
exec Build/Benchmarks/Micro/micro_bench --benchmark_min_time=0.1 "$@"
