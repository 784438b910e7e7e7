#!/usr/bin/env bash
# The developer's command: run | test | lint | format | build. See README.md.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    echo "usage: Meta/ragwortcrank.sh COMMAND"
    for script in Meta/commands/*.sh; do
        printf '  %-10s %s\n' "$(basename "$script" .sh)" "$(sed -n '2s/^# *//p' "$script")"
    done
}

command=${1:-help}
if [ ! -f "Meta/commands/$command.sh" ]; then
    usage
    [ "$command" = help ] && exit 0
    exit 2
fi
shift
# Objects are the same in whatever folder a clone lies.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
exec bash "Meta/commands/$command.sh" "$@"
