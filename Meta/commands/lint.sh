#!/usr/bin/env bash
# Checks the format and runs clang-tidy; with file names, only on those.
set -euo pipefail
if [ "$#" -gt 0 ]; then
    sources=("$@")
else
    # The fuzz targets are built apart, so their command checks them.
    mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' ':!Tests/Fuzz')
fi
git ls-files -z --cached --others --exclude-standard '*.h' '*.cpp' ':!*.capnp.*' | xargs -0 clang-format --dry-run --Werror
[ -f Build/compile_commands.json ] || bash Meta/commands/build.sh
printf '%s\0' "${sources[@]}" | xargs -0 -n 2 -P "$(nproc)" clang-tidy -p Build --quiet 2>/dev/null
echo "lint: ${#sources[@]} sources, no findings"
