#!/usr/bin/env bash
# Runs the tests under AddressSanitizer with UBSan, and those of the threaded packages under ThreadSanitizer.
set -euo pipefail
jobs=${1:-$(nproc)}
cd "$(dirname "$0")/.."

run_with() {
  local build=$1 flags=$2 filter=$3
  cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS="$flags -fno-omit-frame-pointer"
  cmake --build "$build" -j "$jobs"
  ctest --test-dir "$build" --output-on-failure -j "$jobs" --no-tests=error -R "$filter"
}

export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
run_with build-asan "-fsanitize=address,undefined -fno-sanitize-recover=undefined" '.'
# GCC's ThreadSanitizer does not model std::atomic_thread_fence, which Boost's headers use.
run_with build-tsan "-fsanitize=thread -Wno-tsan" '^(platform|mesh|gateway|daemon)/'
echo "sanitizers: clean"
