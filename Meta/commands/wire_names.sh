#!/usr/bin/env bash
# Checks that the platform's names on the wire stand only in platform/ and its tests.
set -euo pipefail
names='Server-Stamp|Shard-Stamps|Missing-Shards|Not-Executed|Target-Instance|Instance-Id|Server-Load|Server-Limit|Warmup-Ms|Deadline-Ms|store-revision|path-prefix|min-coverage|warmup-left-ms|warmup-per-s|route-type|traffic-split|max-concurrency|/api/resolve|/api/ready|/api/objects|RAGWORTCRANK_BOOT'
if git ls-files '*.h' '*.cpp' ':!platform' ':!Tests/platform' | xargs grep -nE "\"[^\"]*($names)"; then
    echo "the names above belong into platform/" >&2
    exit 1
fi
echo "wire names: only in platform/"
