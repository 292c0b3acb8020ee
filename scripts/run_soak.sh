#!/usr/bin/env bash
# Plays the fault soak for a few seconds on each seed of tests/soak-seeds.txt.
set -euo pipefail
build=${1:?build directory}
cd "$(dirname "$0")/.."
failed=0
while read -r seed cause; do
  case $seed in ''|'#'*) continue ;; esac
  echo "soak seed $seed: $cause"
  "$build/tools/soak" --seed "$seed" --seconds 6 --logs "$build/soak" || failed=1
done <tests/soak-seeds.txt
exit "$failed"
