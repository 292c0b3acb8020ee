#!/usr/bin/env bash
# Shows the request path end to end on loopback: a log service, targets of two services, and three instances in two
# data centres. Stops everything it started.
set -euo pipefail
build=${1:?build directory}
bin=$build/bin
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# Waits until a command succeeds; fails after 60 s.
await() {
  local end=$((SECONDS + 60))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "timed out: $*" >&2
      tail -n 5 "$dir"/*.log >&2
      exit 1
    fi
    sleep 0.1
  done
}

# Fixed ports below the ephemeral range, spread by process id so that two demonstrations can run at once.
base=$((20000 + ($$ % 1200) * 10))
log_port=$base
start_log() {
  "$bin/standin_log" --port "$log_port" >"$dir/log.log" 2>&1 &
  pids+=($!)
}

# start_target NAME: sets port_of[NAME].
declare -A port_of
start_target() {
  "$bin/standin_target" --port 0 --behaviour "{\"name\":\"$1\",\"service_ms\":3}" >"$dir/$1.log" 2>&1 &
  pids+=($!)
  await test -s "$dir/$1.log"
  port_of[$1]=$(head -n 1 "$dir/$1.log")
}

# start_instance NAME DATA_CENTRE INDEX
start_instance() {
  cat >"$dir/$1.json" <<EOF
{"instance": "$1", "data_centre": "$2",
 "entry": {"port": $((base + 1 + $3))},
 "operators": {"port": $((base + 4 + $3)), "secret": {"salt_hex": "$salt", "hash_hex": "$(hash_secret "$operator_secret")"}},
 "mesh": {"listen": "127.0.0.1:$((base + 7 + $3))", "max_message_bytes": 16777216, "peers": [
   {"instance": "howrah-1", "data_centre": "howrah", "address": "127.0.0.1:$((base + 7))"},
   {"instance": "howrah-2", "data_centre": "howrah", "address": "127.0.0.1:$((base + 8))"},
   {"instance": "bowbazar-1", "data_centre": "bowbazar", "address": "127.0.0.1:$((base + 9))"}]},
 "log_service": {"host": "127.0.0.1", "port": $log_port},
 "shutdown": {"load_balancer_wait_ms": 300}}
EOF
  "$bin/dogwoodd" --config "$dir/$1.json" >"$dir/$1.log" 2>&1 &
  pids+=($!)
}

salt=00112233445566778899aabbccddeeff
operator_secret=ops.demonstration
caller_secret=k1.demonstration
hash_secret() {
  { printf "$(sed 's/../\\x&/g' <<<"$salt")"; printf '%s' "$1"; } | sha256sum | cut -d' ' -f1
}

# append SEQUENCE REASON TYPE BODY: appends a record to the control log as an operator does.
append() {
  local record="{\"writer\":\"0000000000000001\",\"incarnation\":1,\"sequence\":$1,\"actor\":\"operator\",\"reason\":\"$2\",\"time_ms\":$(date +%s%3N),\"type\":\"$3\",\"body\":$4}"
  local text=${record//\"/\\\"}
  curl -sS -X POST -d "{\"records\":[\"$text\"]}" "http://127.0.0.1:$log_port/v1/logs/control/records"
  echo
}

target() {
  echo "{\"name\":\"$1\",\"service\":\"$2\",\"data_centre\":\"$3\",\"host\":\"127.0.0.1\",\"port\":${port_of[$1]}}"
}

call() {
  echo "\$ curl $*"
  curl -sS --max-time 20 -D "$dir/headers" -H "Authorization: Bearer $caller_secret" "$@" || true
  grep -iE '^(HTTP/|Dogwood-|Retry-After)' "$dir/headers" | sed 's/^/  /'
}

say "starting the log service, four targets and three instances"
start_log
for name in dokan-1 dokan-2 khata-1 khata-2; do start_target "$name"; done
start_instance howrah-1 howrah 0
start_instance howrah-2 howrah 1
start_instance bowbazar-1 bowbazar 2
await curl -sSf "http://127.0.0.1:$log_port/v1/instances"

say "publishing the configuration"
config="{\"data_centres\":[{\"name\":\"howrah\"},{\"name\":\"bowbazar\"}],\"services\":[{\"name\":\"dokan\"},{\"name\":\"khata\",\"keyed\":true,\"shards\":16}],\"routes\":[{\"name\":\"stock\",\"path_prefix\":\"/dokan\",\"service\":\"dokan\"},{\"name\":\"payment\",\"path_prefix\":\"/pay\",\"service\":\"dokan\",\"repeatable\":false},{\"name\":\"ledger\",\"path_prefix\":\"/khata\",\"service\":\"khata\",\"key\":{\"in\":\"path\",\"segment\":1}}],\"accounts\":[{\"name\":\"hospital\",\"rate\":200,\"burst\":200,\"secrets\":[{\"key_id\":\"k1\",\"salt\":\"$salt\",\"hash\":\"$(hash_secret "$caller_secret")\"}]}],\"targets\":[$(target dokan-1 dokan howrah),$(target dokan-2 dokan bowbazar),$(target khata-1 khata howrah),$(target khata-2 khata bowbazar)],\"exceptions\":[]}"
echo "$config" >"$dir/config.json"
cat >"$dir/dogwoodctl.json" <<JSON
{"actor": "operator", "operator_secret": "$operator_secret",
 "log_service": {"host": "127.0.0.1", "port": $log_port},
 "instances": [{"name": "howrah-1", "host": "127.0.0.1", "port": $((base + 4))},
               {"name": "howrah-2", "host": "127.0.0.1", "port": $((base + 5))},
               {"name": "bowbazar-1", "host": "127.0.0.1", "port": $((base + 6))}]}
JSON
"$bin/dogwoodctl" config apply "$dir/config.json" --base 0 --reason "first configuration" \
  --settings "$dir/dogwoodctl.json"
for i in 0 1 2; do await curl -sSf "http://127.0.0.1:$((base + 4 + i))/-/ready"; done
echo "all three instances are ready"

entry=http://127.0.0.1:$((base + 1))
say "requests to howrah-1"
call "$entry/dokan/rice"
for key in a b c d; do call "$entry/khata/$key"; done
call "$entry/nowhere"

say "a payment, and the same payment again through another instance: it runs once"
call -X POST -H "Idempotency-Key: pay-1" -d "50 rupees" "$entry/pay"
call -X POST -H "Idempotency-Key: pay-1" -d "50 rupees" "http://127.0.0.1:$((base + 2))/pay"
call -X POST -H "Idempotency-Key: pay-1" -d "60 rupees" "$entry/pay"

say "stopping target khata-2 (data centre bowbazar): its keys go to khata-1 or wait"
kill -KILL "${pids[4]}"
operators=http://127.0.0.1:$((base + 4))
for key in a b; do call -H "Dogwood-Deadline-Ms: 8000" "$entry/khata/$key"; done

say "the operators' pages of howrah-1"
curl -sS -H "Authorization: Bearer $operator_secret" "$operators/-/status"
curl -sS -H "Authorization: Bearer $operator_secret" "$operators/-/owners?service=khata&key=a"
curl -sS "$operators/-/metrics" | grep -E '^dogwood_(requests|forwarded|attempts)_total'

say "the users' platform: three instances on stand-ins of its store, targets and callers, with random faults"
"$build/tools/soak" --seed 1 --seconds 3

say "an operator withdraws the secret k1"
append 2 "lost laptop" secret_change '{"account":"hospital","expected_version":0,"action":"withdraw","secret":{"key_id":"k1","salt":"","hash":""}}'
refused() { [ "$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $caller_secret" "$entry/dokan/rice")" = 401 ]; }
await refused
call "$entry/dokan/rice"
curl -sS -H "Authorization: Bearer $operator_secret" "$operators/-/audit?from=2" | head -c 300
echo

say "stopping howrah-1 with SIGTERM"
kill -TERM "${pids[5]}"
status=0
wait "${pids[5]}" || status=$?
echo "howrah-1 ended with status $status"
tail -n 1 "$dir/howrah-1.log"
say "done"
