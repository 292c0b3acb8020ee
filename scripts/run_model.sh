#!/usr/bin/env bash
# Checks the ownership protocol and its faulty variants with spin. Fails if the correct protocol has a violation, if a
# search was not exhaustive, or if a faulty variant passes.
set -euo pipefail
build=${1:?build directory}
cd "$(dirname "$0")/.."
source=$PWD/spec/ownership.pml
out=$build/model
mkdir -p "$out"
out=$(cd "$out" && pwd)
# Each search may use this much memory; at most `jobs` searches run at once.
memory_mb=2000
depth=1000000
jobs=${MODEL_JOBS:-2}

# Bounds of the four searches; spec/README.md explains them.
moves="-DDELEGATIONS=1 -DMOVES=2 -DRESTARTS=0 -DREQUESTS=1 -DGRANTS=1 -DROUTERS=3 -DL=2"
takeover="-DDELEGATIONS=2 -DMOVES=1 -DRESTARTS=0 -DREQUESTS=0 -DGRANTS=1 -DROUTERS=3 -DL=2"
restart="-DDELEGATIONS=2 -DMOVES=1 -DRESTARTS=1 -DREQUESTS=1 -DGRANTS=1 -DROUTERS=3 -DL=1"
groups="-DDELEGATIONS=3 -DMOVES=1 -DRESTARTS=0 -DREQUESTS=0 -DGRANTS=0 -DROUTERS=0 -DL=1"

# name | expected result | bounds | macro of the variant
variants="
correct-moves|holds|$moves|
correct-takeover|holds|$takeover|
correct-restart|holds|$restart|
correct-groups|holds|$groups|
no-wait-for-expired-permits|violated|$moves|-DFAULT_NO_WAIT
lease-counted-from-answer|violated|$moves|-DFAULT_LEASE_FROM_ANSWER
no-expected-version|violated|$groups|-DFAULT_NO_EXPECTED_VERSION
restarted-holder-trusts-state|violated|$restart|-DFAULT_RESTART_TRUSTS_STATE
restarted-member-rejoins|violated|$restart|-DFAULT_RESTART_REJOINS
takeover-reads-one-group|violated|$groups|-DFAULT_READS_ONLY_PREDECESSOR
lease-without-permit|violated|$takeover|-DFAULT_LEASE_WITHOUT_PERMIT
replaced-coordinator-acts|violated|$takeover|-DFAULT_REPLACED_COORDINATOR_ACTS
exposure-target-ignores-deadline|violated|$moves|-DEXPOSURE_NO_DEADLINE
exposure-thread-paused|violated|$moves|-DEXPOSURE_THREAD_PAUSE
"

check_variant() {
  local name=$1 expected=$2 flags=$3 macro=$4 dir=$out/$1 states verdict reached
  mkdir -p "$dir"
  cd "$dir"
  rm -f pan pan.out ./*.trail
  # shellcheck disable=SC2086
  spin -a $flags $macro "$source" >spin.out 2>&1 && [ -s pan.c ] || { cat spin.out; return 1; }
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_mb" -o pan pan.c
  ./pan -m"$depth" >pan.out 2>&1 || true
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
  reached=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' pan.out)
  if grep -qE 'errors: [1-9]' pan.out && grep -q 'assertion violated' pan.out; then
    verdict=violated
  elif grep -qE 'max search depth too small|out of memory|Search not completed|memory limit|hash array' pan.out ||
    ! grep -q 'errors: 0' pan.out; then
    verdict=truncated
  else
    verdict=holds
  fi
  local search="exhaustive"
  [ "$verdict" = holds ] || search="stopped"
  printf '%-34s states %9s  depth %6s  search %-10s  expected %-8s  found %s\n' \
    "$name" "$states" "$reached" "$search" "$expected" "$verdict"
  [ "$verdict" = "$expected" ]
}
export -f check_variant
export source out memory_mb depth

echo "bounds: correct-moves $moves"
echo "bounds: correct-takeover $takeover"
echo "bounds: correct-restart $restart"
echo "bounds: correct-groups $groups"
if echo "$variants" | sed '/^$/d' | tr '\n' '\0' |
  xargs -0 -P "$jobs" -I{} bash -c 'IFS="|" read -r n e f m <<<"$1"; check_variant "$n" "$e" "$f" "$m"' _ {}; then
  echo "model: the protocol holds in all searches (exhaustive), and every faulty variant was caught"
else
  echo "model: FAILED, see the lines above and $out"
  exit 1
fi
