#!/usr/bin/env bash
# Plays troubles against real daemons of the users' platform: soak.sh [FIRST_SEED [COUNT [AT_ONCE]]], a minute each.
set -euo pipefail
bash Meta/commands/build.sh
first=${1:-1}
count=${2:-1}
at_once=${3:-2}
folder=$(mktemp -d)
play() {
    mkdir "$folder/$1"
    if Build/Tests/platform/Soak/soak --seed "$1" --log_folder "$folder/$1" >"$folder/$1/soak.log" 2>&1; then
        tail -1 "$folder/$1/soak.log"
        rm -r "${folder:?}/$1"
        return
    fi
    cat "$folder/$1/soak.log"
    echo "soak: seed $1 failed; the daemons' logs lie in $folder/$1"
    return 1
}
export -f play
export folder
# The seeds of earlier findings come first; a line each in the file says what they were.
seeds=$(seq "$first" $((first + count - 1)))
if [ "$#" -eq 0 ]; then
    seeds="$(sed -E 's/#.*//' Tests/platform/Soak/seeds.txt) $seeds"
fi
printf '%s\n' $seeds | xargs -P "$at_once" -I{} bash -c 'play {}'
