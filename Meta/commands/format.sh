#!/usr/bin/env bash
# Formats the sources in place.
set -euo pipefail
git ls-files -z --cached --others --exclude-standard '*.h' '*.cpp' ':!*.capnp.*' | xargs -0 clang-format -i
