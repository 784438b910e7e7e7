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

# As ccache does for objects: a source is clean for as long as it, what it includes from this tree, the checks and the
# tool stay the same. Findings are never kept.
cache=${XDG_CACHE_HOME:-$HOME/.cache}/ragwortcrank-lint
mkdir -p "$cache"
tool=$(clang-tidy --version; dpkg-query -W -f '${Package} ${Version}\n' 'lib*-dev' g++ 2>/dev/null)
export cache tool

# Names what the verdict on a source depends on; nothing if that cannot be told.
lint_key() {
    local command headers
    command=$(jq -r --arg file "$PWD/$1" 'first(.[] | select(.file == $file) | .command)' Build/compile_commands.json)
    command=${command%% -o *}
    [ -n "$command" ] && headers=$(eval "$command -MM $1") || return 0
    {
        echo "$tool ${command//$PWD/}"
        cat .clang-tidy "$1"
        tr -d '\\\n' <<<"$headers" | tr ' ' '\n' | sed -n '/\.h$/p' | sort -u | xargs -r cat
    } | sha256sum | cut -d' ' -f1
}
lint_one() {
    local key
    key=$(lint_key "$1")
    [ -n "$key" ] && [ -e "$cache/$key" ] && return
    clang-tidy -p Build --quiet "$1" 2>/dev/null
    [ -z "$key" ] || touch "$cache/$key"
}
export -f lint_key
export -f lint_one
printf '%s\0' "${sources[@]}" | xargs -0 -I{} -P "$(nproc)" bash -euo pipefail -c 'lint_one "$1"' lint {}
echo "lint: ${#sources[@]} sources, no findings"
