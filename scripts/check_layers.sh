#!/usr/bin/env bash
# Checks that core uses no sockets and no clock: it refers to no symbol of POCO, nng or glog and reads no clock.
set -euo pipefail
build=${1:?build directory}
cd "$(dirname "$0")/.."
failed=0
symbols=$(nm -C "$build/libdogwood_core.a")
if grep -E ' U .*(Poco::|nng_|google::Log)' <<<"$symbols"; then
  echo "core refers to a symbol of POCO, nng or glog"
  failed=1
fi
if grep -nE '(steady|system|high_resolution)_clock::now|clock_gettime|std::random_device|std::thread|#include <(Poco|nng|thread|mutex)' \
  -r packages/core/src packages/core/include; then
  echo "core reads a clock, a random device or uses threads"
  failed=1
fi
[ "$failed" -eq 0 ] && echo "layers: clean"
exit "$failed"
