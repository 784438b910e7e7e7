#!/usr/bin/env bash
# Installs the dependencies and builds everything into Build/.
set -euo pipefail
bash Meta/install_dependencies.sh >&2
[ -f Build/build.ninja ] || cmake -S . -B Build -G Ninja >&2
ninja --quiet -C Build >&2
