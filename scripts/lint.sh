#!/usr/bin/env bash
# Runs clang-tidy over all translation units. A unit whose inputs did not change since it last passed is skipped:
# the stamp holds the hash of the unit after preprocessing and of the linter settings.
set -euo pipefail
build=${1:?build directory}
jobs=${2:-$(nproc)}
cd "$(dirname "$0")/.."
stamps=${LINT_CACHE:-$build/lint}
mkdir -p "$stamps"
# clang cannot read the precompiled header of GCC, so the linter includes its source instead.
mkdir -p "$build/lint-db"
sed -E "s#-include [^ ]*cmake_pch.hxx#-include $PWD/cmake/pch.h#; s#-fpch-preprocess|-Winvalid-pch|-Wno-restrict##g" \
  "$build/compile_commands.json" >"$build/lint-db/compile_commands.json"
lint_one() {
  local file=$1 key
  key=$( (cat .clang-tidy; cat "$file"; cat $(scripts/sources.sh | grep '\.h$')) | sha256sum | cut -d' ' -f1)
  if [ -e "$stamps/$key" ]; then return 0; fi
  if clang-tidy -p "$build/lint-db" --quiet "$file" >"$stamps/$key.out" 2>/dev/null; then
    rm -f "$stamps/$key.out"
    touch "$stamps/$key"
  else
    cat "$stamps/$key.out"
    echo "lint failed: $file"
    return 1
  fi
}
export -f lint_one
export build stamps
scripts/sources.sh | grep -E '\.cc$' | xargs -P "$jobs" -I{} bash -c 'lint_one "$1"' _ {}
echo "lint: clean"
