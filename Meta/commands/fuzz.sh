#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs from a fixed seed, with address and undefined-behaviour sanitizers.
set -euo pipefail
bash Meta/install_dependencies.sh >&2
runs=${1:-20000}
build=Build/Fuzz
[ -f "$build/build.ninja" ] || CC=clang CXX=clang++ cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DRAGWORTCRANK_FUZZERS=ON -DRAGWORTCRANK_SANITIZERS=address,undefined >&2
targets=()
for source in Tests/Fuzz/Fuzz*.cpp; do
    targets+=("$(basename "$source" .cpp)")
done
ninja --quiet -C "$build" "${targets[@]}" >&2
printf '%s\0' Tests/Fuzz/*.cpp | xargs -0 -n 2 -P "$(nproc)" clang-tidy -p "$build" --quiet 2>/dev/null
export runs build
run_target() {
    local scratch
    scratch=$(mktemp -d)
    if ! UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 "$build/Tests/Fuzz/$1" -runs="$runs" -seed=1 -max_len=4096 \
        -timeout=60 -rss_limit_mb=2048 -verbosity=0 -print_final_stats=0 -artifact_prefix="$scratch/" "$scratch" \
        "Tests/Fuzz/Corpus/$1" >"$scratch/log" 2>&1; then
        tail -40 "$scratch/log"
        echo "fuzz: $1 failed; its input lies in $scratch"
        return 1
    fi
    rm -r "$scratch"
    echo "fuzz: $1, $runs inputs, seed 1, no fault"
}
export -f run_target
printf '%s\n' "${targets[@]}" | xargs -P 3 -I{} bash -c 'run_target {}' # Three at once stay under their memory limits.
echo "fuzz: ${#targets[@]} targets, no fault"
