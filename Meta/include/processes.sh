# Functions to start processes and to end exactly those. Source this file.

started_processes=()

# Starts a command in the background with its output in a file: start_process LOG COMMAND...
start_process() {
    local log=$1
    shift
    "$@" >"$log" 2>&1 &
    started_processes+=("$!")
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
