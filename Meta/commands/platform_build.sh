#!/usr/bin/env bash
# Builds the program for the users' platform as deploy/system.toml says, from a copy of what is committed.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
git archive HEAD | tar -x -C "$folder"
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
(cd "$folder" && CCACHE_BASEDIR=$folder bash -c "$command") >"$folder/log" 2>&1 || {
    tail -40 "$folder/log" >&2
    exit 1
}
test -x "$folder/target/ragwortcrankd-platform"
echo "platform build: done"
