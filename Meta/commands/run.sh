#!/usr/bin/env bash
# Starts stand-ins and daemons on loopback and sends queries: [--queries N] [--config FILE] [--daemons N] [--keep]
set -euo pipefail
source Meta/include/processes.sh

queries=20
config=Samples/quickstart.json
daemons=3
keep=no
service=search
route=lookup
while [ "$#" -gt 0 ]; do
    case "$1" in
    --queries) queries=$2; shift 2 ;;
    --config) config=$2; shift 2 ;;
    --daemons) daemons=$2; shift 2 ;;
    --service) service=$2; shift 2 ;;
    --route) route=$2; shift 2 ;;
    --keep) keep=yes; shift ;;
    *) echo "unknown argument \"$1\"" >&2; exit 2 ;;
    esac
done

bash Meta/commands/build.sh
export RAGWORTCRANK_OPERATOR_KEY=${RAGWORTCRANK_OPERATOR_KEY:-sample-operator-key}
export RAGWORTCRANK_TEAM_KEY=${RAGWORTCRANK_TEAM_KEY:-sample-team-key}
store_port=20900
caller_port=20100
peer_port=20500
# The ports are fixed, so that a run waits until another one on this machine has ended.
longest_wait_seconds=120
exec {run_lock}>"${TMPDIR:-/tmp}/ragwortcrank-run.lock"
flock --wait "$longest_wait_seconds" "$run_lock" || {
    echo "another run has not ended within $longest_wait_seconds s" >&2
    exit 1
}
for port in "$store_port" "$caller_port"; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
        echo "port $port is in use; end what runs there first" >&2
        exit 1
    fi
done
logs=$(mktemp -d)
trap end_processes EXIT

start_process "$logs/store.log" Build/Tests/StandIns/standin_store --port="$store_port"
start_process "$logs/backend.log" Build/Tests/StandIns/standin_backend --config="$config"
mapfile -t data_centres < <(jq -r '.data_centres | keys[]' "$config")
wait_for_url "http://127.0.0.1:$store_port/counters" 10
start_daemons Build/Services/ragwortcrankd/ragwortcrankd
for ((index = 0; index < daemons; index++)); do
    wait_for_url "http://127.0.0.1:$((caller_port + index))/healthz" 10
done
Build/Utilities/ragwortcrankctl/ragwortcrankctl --daemon="127.0.0.1:$caller_port" config patch --base=0 "$config" >&2
for ((index = 0; index < daemons; index++)); do
    wait_for_url "http://127.0.0.1:$((caller_port + index))/readyz" 20
done
status=0
Build/Tests/StandIns/standin_caller --daemon="127.0.0.1:$caller_port" --queries="$queries" \
    --service="$service" --route="$route" || status=$?
if [ "$keep" = yes ]; then
    echo "daemons: 127.0.0.1:$caller_port to 127.0.0.1:$((caller_port + daemons - 1)); store: 127.0.0.1:$store_port" >&2
    echo "logs: $logs" >&2
    echo "export RAGWORTCRANK_OPERATOR_KEY=$RAGWORTCRANK_OPERATOR_KEY" >&2
    echo "Build/Utilities/ragwortcrankctl/ragwortcrankctl --daemon=127.0.0.1:$caller_port config get" >&2
    echo "curl -H 'Authorization: Bearer $RAGWORTCRANK_TEAM_KEY' -d '{\"query\":\"x\"}' http://127.0.0.1:$caller_port/v1/query/$service/$route" >&2
    echo "end with: kill ${started_processes[*]}" >&2
    trap - EXIT
else
    end_processes
    rm -r "$logs"
fi
exit "$status"
