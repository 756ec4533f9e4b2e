#!/usr/bin/env bash
# Runs the Freight example as plain processes on loopback: a platform, ten back ends and three zones
# of two nodes. Confirms a version, sends requests, and under that load confirms a second version,
# drains a back end and stops and restarts a node. Leaves no process and no file behind, also when
# it is interrupted. Exits with 0 only if every check held.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"

readonly build=build/release
readonly bin="$root/$build/bin"
readonly example="$root/examples/freight"
readonly platform=127.10.0.1:7000
readonly operator_node=127.10.1.1:9090
readonly zones=(a b c)
export COURSEPOND_TOKEN=demo-operator-token

work=""
declare -A pids=()

say() { printf '\n== %s\n' "$*"; }

fail() {
  echo "demo: $*" >&2
  exit 1
}

# stop_process NAME: a planned stop; returns the exit status.
stop_process() {
  local pid=${pids[$1]}
  kill -TERM "$pid" 2>/dev/null || true
  local status=0
  wait "$pid" || status=$?
  unset "pids[$1]"
  return "$status"
}

cleanup() {
  local status=$?
  trap - EXIT INT TERM
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 100); do
    local alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait
  if [ "$status" = 1 ] && [ -n "$work" ]; then
    tail -n 3 "$work"/*.log >&2 || true
  fi
  [ -z "$work" ] || rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME PROGRAM ARGUMENTS...
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# machines KIND: "id zone address service" of the nodes or back ends on the machine list, which
# holds one machine a line.
machines() {
  local field='"\([^"]*\)"'
  if [ "$1" = nodes ]; then
    sed -n "s/.*\"id\": $field, \"zone\": $field, \"address\": $field.*/\1 \2 \3 -/p" \
      "$example/machines.json"
  else
    sed -n "s/.*\"id\": $field, \"service\": $field, \"zone\": $field, \"address\": $field.*/\1 \3 \4 \2/p" \
      "$example/machines.json"
  fi
}

start_back_end() {
  start "$1" "$bin/coursepond-standin" backend --id "$1" --listen "$3" --service "$4" \
    --slots 10 --connections 120 --service-time-ms 5 --drain-ms 3000 \
    --journal-file "$work/$1.journal"
}

start_node() {
  local id=$1 zone=$2 peer=$3
  local host=${peer%:*}
  cat >"$work/$id.toml" <<TOML
[node]
id = "$id"
zone = "$zone"
caller_listen = "$host:8080"
peer_listen = "$peer"
admin_listen = "$host:9090"

[platform]
address = "$platform"

[mesh]
zones = ["a", "b", "c"]

[admin]
token = "$COURSEPOND_TOKEN"
TOML
  start "$id" "$bin/coursepond" node --config "$work/$id.toml"
}

# platform_control PATH BODY
platform_control() {
  curl --silent --show-error --fail --max-time 5 --data "$2" "http://$platform/control/$1" >/dev/null
}

# attempt COMMAND...: repeats it every half second until it succeeds, for half a minute at most.
attempt() {
  for _ in $(seq 60); do
    if "$@"; then return 0; fi
    sleep 0.5
  done
  return 1
}

# plan VERSION: puts the plan's id into $work/plan.id, or nothing when a new mesh has adopted that
# version by itself already.
plan() {
  : >"$work/plan.id"
  if "$bin/coursepond" plan --version "$1" --node "$operator_node" --json \
    >"$work/plan.json" 2>"$work/plan.log"; then
    sed -n 's/.*"id": *"\([^"]*\)".*/\1/p' "$work/plan.json" | head -n 1 >"$work/plan.id"
    return 0
  fi
  grep -q "is not newer than the accepted version $1 " "$work/plan.log"
}

confirm() {
  "$bin/coursepond" confirm "$1" --wait --node "$operator_node" 2>"$work/confirm.log"
}

# plan_and_confirm VERSION: a new mesh refuses until it has formed. One plan is confirmed again and
# again, which is harmless, in place of planning anew.
plan_and_confirm() {
  attempt plan "$1" || fail "version $1 cannot be planned: $(cat "$work/plan.log")"
  local id
  id=$(cat "$work/plan.id")
  if [ -z "$id" ]; then
    echo "the new mesh has adopted version $1 already"
    return 0
  fi
  attempt confirm "$id" || fail "version $1 is not confirmed: $(cat "$work/confirm.log")"
}

say "Installing what is missing and building"
scripts/install-deps.sh >/dev/null
cmake --preset release >/dev/null
cmake --build --preset release -j "${JOBS:-4}" \
  --target coursepond coursepond-standin coursepond-load | tail -n 1

work=$(mktemp -d)
mapfile -t nodes < <(machines nodes)
mapfile -t back_ends < <(machines backends)

say "Starting the platform, ${#back_ends[@]} back ends and ${#nodes[@]} nodes in zones ${zones[*]}"
start platform "$bin/coursepond-standin" platform --listen "$platform" \
  --configurations "$example/configurations" --machines "$example/machines.json" --publish 1
for line in "${back_ends[@]}"; do
  read -r -a machine <<<"$line"
  start_back_end "${machine[@]}"
done
for line in "${nodes[@]}"; do
  read -r -a machine <<<"$line"
  start_node "${machine[@]}"
done

say "Planning and confirming version 1"
plan_and_confirm 1
"$bin/coursepond" status --node "$operator_node"

say "Sending 300 requests a second to all nodes for 15 s"
targets=$(for line in "${nodes[@]}"; do read -r _ _ peer _ <<<"$line"; echo "${peer%:*}:8080"; done |
  paste -sd,)
journals=$(for line in "${back_ends[@]}"; do echo "$work/${line%% *}.journal"; done | paste -sd,)
"$bin/coursepond-load" --targets "$targets" --rate 300 --duration-ms 15000 \
  --journal-file "$journals" --deadline-ms 2000 \
  --request "6 GET freight.example /corridors/17" \
  --request "3 GET freight.example /timetable/today?size=5000&chunked=1" \
  --request "2 POST freight.example /capacity" \
  --request "2 POST freight.example /bookings once" >"$work/load.report" 2>&1 &
pids[load]=$!
sleep 2

say "Publishing version 2; planning and confirming it under load"
platform_control publish '{"version": 2}'
"$bin/coursepond" plan --version 2 --node "$operator_node"
plan_and_confirm 2

say "Draining back end corridor-2 (listed as leaving, then SIGTERM)"
platform_control machines/state '{"id": "corridor-2", "state": "leaving"}'
stop_process corridor-2 || fail "corridor-2 had unfinished work"
platform_control machines/state '{"id": "corridor-2", "state": "gone"}'

say "Stopping node b1 as planned (SIGTERM), and starting it again"
stop_process b1 || fail "node b1 stopped with an error"
for line in "${nodes[@]}"; do
  read -r -a machine <<<"$line"
  if [ "${machine[0]}" = b1 ]; then start_node "${machine[@]}"; fi
done

say "What the callers saw, checked against the back ends' journals"
load_status=0
wait "${pids[load]}" || load_status=$?
unset "pids[load]"
cat "$work/load.report"
[ "$load_status" = 0 ] || fail "a promise to callers was broken"

say "The proxies at the end"
"$bin/coursepond" proxies --node "$operator_node"

say "Stopping everything"
for line in "${nodes[@]}"; do
  id=${line%% *}
  stop_process "$id" || fail "node $id stopped with an error"
done
echo "all nodes stopped cleanly"
