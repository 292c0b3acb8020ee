#!/usr/bin/env bash
# Runs all measurements and prints one table; writes measure.json into the build directory.
set -euo pipefail
build=${1:?build directory}
seed=${SEED:-1}
"$build/tools/measure" "$build/measure.json" "$seed"
