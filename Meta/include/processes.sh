# Functions to start processes and to end exactly those. Source this file.

started_processes=()

# Starts a command in the background with its output in a file: start_process LOG COMMAND...
start_process() {
    local log=$1
    shift
    # A process that outlives the script must not hold the script's lock.
    if [ -n "${run_lock:-}" ]; then
        "$@" >"$log" 2>&1 {run_lock}>&- &
    else
        "$@" >"$log" 2>&1 &
    fi
    started_processes+=("$!")
}

# Puts the list of VMs into the stand-in store and starts a daemon on each: start_daemons PROGRAM
# Reads the variables daemons, data_centres, caller_port, peer_port, store_port and logs.
start_daemons() {
    local program=$1 index vms
    vms=$(for ((index = 0; index < daemons; index++)); do
        jq -n --arg name "vm-$index" --arg caller "127.0.0.1:$((caller_port + index))" \
            --arg peer "127.0.0.1:$((peer_port + index))" \
            --arg data_centre "${data_centres[index % ${#data_centres[@]}]}" \
            '{name: $name, caller_address: $caller, peer_address: $peer, data_centre: $data_centre, leaving: false}'
    done | jq --slurp --compact-output .)
    curl --silent --fail --output /dev/null --request PUT --header 'Content-Type: application/json' --data "$vms" \
        "http://127.0.0.1:$store_port/objects/vms"
    for ((index = 0; index < daemons; index++)); do
        start_process "$logs/vm-$index.log" "$program" \
            --vm_name="vm-$index" --data_centre="${data_centres[index % ${#data_centres[@]}]}" \
            --caller_port=$((caller_port + index)) --peer_port=$((peer_port + index)) \
            --store_url="http://127.0.0.1:$store_port"
    done
}

# Ends every started process by its id and waits for it. The second signal ends a daemon's drain.
end_processes() {
    local id
    for id in "${started_processes[@]}"; do
        kill -TERM "$id" 2>/dev/null || true
    done
    sleep 0.3
    for id in "${started_processes[@]}"; do
        kill -TERM "$id" 2>/dev/null || true
    done
    for id in "${started_processes[@]}"; do
        wait "$id" 2>/dev/null || true
    done
    started_processes=()
}

# Waits until a URL answers with success: wait_for_url URL SECONDS
wait_for_url() {
    local left=$(($2 * 20))
    until curl --silent --fail --output /dev/null --max-time 2 "$1"; do
        left=$((left - 1))
        if [ "$left" -le 0 ]; then
            echo "no answer from $1 within $2 s" >&2
            return 1
        fi
        sleep 0.05
    done
}
