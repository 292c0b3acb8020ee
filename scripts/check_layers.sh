#!/usr/bin/env bash
# Checks that core uses no sockets and no clock (it refers to no symbol of POCO, nng or glog and reads no clock), and that
# the names of the users' platform stay in the adapter.
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
# The names of the users' platform stand in platform/ and deploy/ only.
wire='X-Dogwoodport|Server-Leaving|Server-Limit|log-append|log-read|log-newest|log-join|coldRemaining|pathPrefix|apiKeys|hold_time|targetLatency|ratePerS|trafficSplit|healthPath|internalPortRange|keyed\.(op|servers)|DOGWOODPORT_CONFIG'
if grep -rnE "$wire" packages standin tools tests --include=*.h --include=*.cc --include=*.cpp | grep -v '^tests/platform/'; then
  echo "a name of the platform stands outside platform/ and deploy/"
  failed=1
fi
[ "$failed" -eq 0 ] && echo "layers: clean"
exit "$failed"
