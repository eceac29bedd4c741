#!/usr/bin/env bash
# Prints the code that programs built from a checkout log as `build=`.
#
#   scripts/build_code.sh           of this checkout
#   scripts/build_code.sh FOLDER    of another one
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
export LC_ALL=C

find Cargo.lock Cargo.toml crates platform -type d -name tests -prune -o \
    -type f \( -name '*.rs' -o -name Cargo.toml -o -name Cargo.lock \) -print |
    sort | xargs -d '\n' sha256sum | sha256sum | cut -c1-8
