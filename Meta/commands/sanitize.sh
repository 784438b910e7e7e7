#!/usr/bin/env bash
# Runs the unit tests and a short real run under thread sanitizer: [thread], or the unit tests alone under: address
set -euo pipefail
bash Meta/install_dependencies.sh >&2
source Meta/include/processes.sh

kind=${1:-thread}
case "$kind" in
thread) sanitizers=thread build=Build/Thread ;;
address) sanitizers=address,undefined build=Build/Address ;;
*) echo "unknown sanitizer \"$kind\"; allowed: thread, address" >&2; exit 2 ;;
esac
logs=$(mktemp -d)
trap end_processes EXIT
export TSAN_OPTIONS="halt_on_error=0:exitcode=66:second_deadlock_stack=1:suppressions=$PWD/Meta/thread_sanitizer_suppressions.txt"
export ASAN_OPTIONS=detect_leaks=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1

# Ends the command with every report of the sanitizer that a log holds.
fail_on_reports() {
    if grep -lE 'WARNING: ThreadSanitizer|ERROR: AddressSanitizer|runtime error:' "$@" >"$logs/reported"; then
        xargs cat <"$logs/reported" >&2
        echo "sanitize: $kind sanitizer reported faults; logs in $logs" >&2
        exit 1
    fi
}

[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DRAGWORTCRANK_SANITIZERS="$sanitizers" >&2
ninja --quiet -C "$build" ${RAGWORTCRANK_JOBS:+-j "$RAGWORTCRANK_JOBS"} >&2
if ! ctest --test-dir "$build" --output-on-failure -E TestProcesses -j 3 >"$logs/tests.log" 2>&1; then
    cat "$logs/tests.log" >&2
    echo "sanitize: the unit tests fail under the $kind sanitizer" >&2
    exit 1
fi
fail_on_reports "$logs/tests.log"
echo "sanitize: unit tests, $kind, no report"
[ "$kind" = thread ] || exit 0

export RAGWORTCRANK_OPERATOR_KEY=sample-operator-key
export RAGWORTCRANK_TEAM_KEY=sample-team-key
store_port=28900
caller_port=28100
peer_port=28500

# Serves 200 queries from three daemons: serve SAMPLE
serve() {
    local config=$1 daemons=3 index
    local -a data_centres
    start_process "$logs/store.log" "$build/Tests/StandIns/standin_store" --port="$store_port"
    start_process "$logs/backend.log" "$build/Tests/StandIns/standin_backend" --config="$config"
    mapfile -t data_centres < <(jq -r '.data_centres | keys[]' "$config")
    wait_for_url "http://127.0.0.1:$store_port/counters" 30
    start_daemons "$build/Services/ragwortcrankd/ragwortcrankd"
    for ((index = 0; index < daemons; index++)); do
        wait_for_url "http://127.0.0.1:$((caller_port + index))/healthz" 30
    done
    "$build/Utilities/ragwortcrankctl/ragwortcrankctl" --daemon="127.0.0.1:$caller_port" config patch --base=0 \
        "$config" >"$logs/ctl.log" 2>&1
    for ((index = 0; index < daemons; index++)); do
        wait_for_url "http://127.0.0.1:$((caller_port + index))/readyz" 30
    done
    "$build/Tests/StandIns/standin_caller" --daemon="127.0.0.1:$caller_port" --queries=200 \
        --service=search --route=lookup >"$logs/caller.log" 2>&1
    end_processes
}

for sample in Samples/branches.json Samples/quickstart.json; do
    status=0
    serve "$sample" || status=$?
    fail_on_reports "$logs"/*.log
    if [ "$status" -ne 0 ]; then
        tail -n 5 "$logs"/*.log >&2
        echo "sanitize: the run of $sample ended with status $status" >&2
        exit 1
    fi
    echo "sanitize: 200 queries of $sample, $kind, no report: $(tail -1 "$logs/caller.log")"
done
rm -r "$logs"
