#!/usr/bin/env bash
# Plays one day on the users' bench: day.sh BENCH SITE DAY [ARGUMENT...]. BENCH is the bench's program.
set -euo pipefail
[ "$#" -ge 3 ] || {
    echo "usage: Meta/ragwortcrank.sh day BENCH SITE DAY [ARGUMENT...]" >&2
    exit 2
}
bench=$1
shift
exec "$bench" run "$@"
