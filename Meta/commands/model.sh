#!/usr/bin/env bash
# Checks every model in Tests/Models exhaustively; with --broken, requires spin to find each planted fault.
set -euo pipefail

# The second line of a model lists its faults, as in "// faults: NAME NAME"; each is planted by -DNAME.
# An optional line "// compile: OPTIONS" replaces the default options of the verifier's compiler.
broken=no
selected=()
for argument in "$@"; do
    case "$argument" in
    --broken) broken=yes ;;
    *) selected+=("$argument") ;;
    esac
done
if [ "${#selected[@]}" -eq 0 ]; then
    selected=(Tests/Models/*.pml)
fi

longest_seconds=400
deepest_search=2000000
work=$PWD/Build/models
failures=0

# Runs one model with an optional fault; the verifier's report goes to standard output.
verify() {
    local model=$1 fault=${2:-} options directory
    options=$(sed -n 's|^// compile: *||p' "$model")
    directory="$work/$(basename "$model" .pml)${fault:+-$fault}"
    mkdir -p "$directory"
    cp "$model" "$directory/model.pml"
    (
        cd "$directory"
        spin ${fault:+-D$fault} -a model.pml >spin.log 2>&1 || { cat spin.log; exit 1; }
        # shellcheck disable=SC2086 # The options are separate words.
        gcc -O2 -w -DMEMLIM=1500 ${options:--DSAFETY} -o verifier pan.c >gcc.log 2>&1 || { cat gcc.log; exit 1; }
        timeout "$longest_seconds" ./verifier -m"$deepest_search" 2>&1 || echo "verifier ended with $?"
    )
}

check_sound() {
    local report
    report=$(verify "$1") || true
    if ! grep -q 'errors: 0$' <<<"$report" || grep -qE 'Search not completed|search depth too small|verifier ended' <<<"$report"; then
        echo "$report"
        echo "$1: FAILED"
        failures=$((failures + 1))
        return
    fi
    echo "$1: holds; $(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1 states/p' <<<"$report"), $(sed -nE 's/.*depth reached ([0-9]+),.*/depth \1/p' <<<"$report")"
}

check_broken() {
    local model=$1 fault report
    for fault in $(sed -n 's|^// faults: *||p' "$model"); do
        report=$(verify "$model" "$fault") || true
        if grep -qE 'errors: [1-9]' <<<"$report"; then
            echo "$model: fault $fault found"
        else
            echo "$report"
            echo "$model: fault $fault NOT FOUND"
            failures=$((failures + 1))
        fi
    done
}

for model in "${selected[@]}"; do
    if [ "$broken" = yes ]; then
        check_broken "$model"
    else
        check_sound "$model"
    fi
done
[ "$failures" -eq 0 ]
