#!/usr/bin/env bash
# Builds ibisshed, runs a small fleet on loopback, sends requests and jobs through it while one agent and one
# entry are killed and a table is edited, stops everything gracefully, and audits what the stand-ins saw. The
# last line says "demo: ok" with the counts; any other end is an error. It ends only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
[ "${IBIS_SKIP_BUILD:-}" = 1 ] || { Tools/install-deps.sh; Tools/build.sh "$root/build"; }
bin=$root/build/Source
dir=$(mktemp -d)
declare -A pid=()
failed() {
  echo "demo: failed: $*"
  exit 1
}
cleanup() {
  for name in "${!pid[@]}"; do
    kill -KILL "${pid[$name]}" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  if [ "${kept:-}" = 1 ]; then echo "demo: logs are in $dir"; else rm -rf "$dir"; fi
}
trap cleanup EXIT
kept=1

# run NAME COMMAND...: starts a process with its output in NAME.out and its errors in NAME.log
run() {
  local name=$1
  shift
  "$@" > "$dir/$name.out" 2>> "$dir/$name.log" &
  pid[$name]=$!
}
# wait_for SECONDS COMMAND...: until the command succeeds
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" > /dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}
port_of() {
  wait_for 10 grep -qE '[0-9]' "$dir/$1.out" || failed "$1 did not start"
  grep -oE '[0-9]+' "$dir/$1.out" | tail -1
}
# free_port: a port below the system's own range that nobody listens on; it sets $port
next_port=$((20000 + RANDOM % 8000))
free_port() {
  while grep -q ":$(printf %04X $next_port) " /proc/net/tcp; do next_port=$((next_port + 1)); done
  port=$next_port
  next_port=$((next_port + 1))
}
kill_hard() {
  kill -KILL "${pid[$1]}"
  wait "${pid[$1]}" 2> /dev/null || true
  unset "pid[$1]"
}
get() { curl -sf -m 3 "$@"; }

run store "$bin/Standins/ibisstandin" store --max-seconds 200
store=$(port_of store)
# Name, role, data centre and region of each process.
processes=(
  "entry-1 entry dc1 north" "entry-2 entry dc3 south"
  "agent-1 agent dc1 north" "agent-2 agent dc1 north" "agent-3 agent dc1 north"
  "agent-4 agent dc2 north" "agent-5 agent dc2 north" "agent-6 agent dc3 south"
)
declare -A rpc=() http=() worker=() endpoint=()
for line in "${processes[@]}"; do
  read -r name _ <<< "$line"
  free_port && rpc[$name]=$port
  free_port && http[$name]=$port
done
write_settings() {
  local name=$1 role=$2 dc=$3 region=$4 line other peer_role peer_dc peer_region
  {
    echo "role = \"$role\""
    printf '[instance]\nname = "%s"\ndata_centre = "%s"\nregion = "%s"\n' "$name" "$dc" "$region"
    [ "$role" = entry ] || printf 'rack = "rack-%s"\nworker = "worker-%s"\n' "$name" "$name"
    printf '[listen]\nhttp_port = %s\nrpc_port = %s\n' "${http[$name]}" "${rpc[$name]}"
    printf '[store]\naddresses = ["127.0.0.1:%s"]\n' "$store"
    [ "$role" = entry ] || printf '[platform]\nworker_address = "127.0.0.1:%s"\n' "${worker[$name]}"
    # Shorter than the defaults, so that the fence after a kill passes within the demo.
    printf '[times]\ntenure_ms = 6000\ntenure_majority_ms = 4000\nplatform_lease_ms = 3000\n'
    printf 'restart_margin_ms = 1000\nshutdown_grace_ms = 10000\n'
    printf '[[data_centre]]\nname = "%s"\nregion = "%s"\n' dc1 north dc2 north dc3 south
    for line in "${processes[@]}"; do
      read -r other peer_role peer_dc peer_region <<< "$line"
      if [ "$other" != "$name" ] && [ "$peer_dc" = "$dc" ]; then
        printf '[[peer]]\nname = "%s"\ndata_centre = "%s"\nregion = "%s"\naddress = "127.0.0.1:%s"\n' \
          "$other" "$peer_dc" "$peer_region" "${rpc[$other]}"
      fi
    done
  } > "$dir/$name.toml"
}
start_daemon() { run "$1" "$bin/Ibisshedd/ibisshedd" --config "$dir/$1.toml"; }
for line in "${processes[@]}"; do
  read -r name role dc region <<< "$line"
  if [ "$role" = agent ]; then
    run "worker-$name" "$bin/Standins/ibisstandin" worker --max-seconds 200
    worker[$name]=$(port_of "worker-$name")
  fi
  # shellcheck disable=SC2086
  write_settings $line
  "$bin/Ibisshedd/ibisshedd" --config "$dir/$name.toml" --check > /dev/null || failed "settings of $name"
  start_daemon "$name"
done
entry=127.0.0.1:${http[entry-1]}
entries=$entry,127.0.0.1:${http[entry-2]}
for name in entry-1 entry-2 agent-1 agent-2 agent-3 agent-4 agent-5 agent-6; do
  wait_for 10 get "http://127.0.0.1:${http[$name]}/ibisshed/v1/health" || failed "$name is not alive"
done

start_endpoint() { # NAME POOL AGENT
  run "$1" "$bin/Standins/ibisstandin" endpoint --id "$1" --pool "$2" --agent-port "${http[$3]}" --service-ms 5 \
    --max-seconds 200
  endpoint[$1]=127.0.0.1:$(port_of "$1")
}
for i in 1 2 3 4 5 6; do start_endpoint "quotes-$i" quotes "agent-$i"; done
for i in 4 5; do start_endpoint "reserve-$i" reservations "agent-$i"; done

mkdir "$dir/tables"
cat > "$dir/tables/routes.toml" << 'END'
[[route]]
name = "quotes"
pool = "quotes"
urgency = "interactive"
price_micro = 100
idempotent = true
deadline_ms = 2000
match = { path_prefix = "/quote" }

[[route]]
name = "reservations"
pool = "reservations"
urgency = "standard"
price_micro = 50
deadline_ms = 3000
match = { path_prefix = "/reserve" }

[[route]]
name = "renders"
kind = "batch"
pool = "renders"
urgency = "patient"
price_micro = 5
END
cat > "$dir/tables/pools.toml" << 'END'
[[pool]]
name = "quotes"
data_centres = ["dc1", "dc2", "dc3"]
per_worker = { slots = 8, connections = 60, milli_cores = 2000, memory_mib = 2000 }
min_share_percent = { interactive = 50 }

[[pool]]
name = "reservations"
data_centres = ["dc2"]
per_worker = { slots = 8, connections = 60, milli_cores = 2000, memory_mib = 2000 }

[[pool]]
name = "renders"
data_centres = ["dc1", "dc2", "dc3"]
per_worker = { milli_cores = 12000, memory_mib = 40000 }

[[team]]
name = "workshop"
quota = { milli_cores = 200000, memory_mib = 400000, slots = 100 }

[[client]]
name = "shop"
team = "workshop"

[[client]]
name = "studio"
team = "workshop"
home = "dc2"
END
ctl() { "$bin/Ibisctl/ibisctl" --server "$entry" "$@"; }
publish() { ctl tables apply "$dir/tables/routes.toml" "$dir/tables/pools.toml" --base "$1" --comment "$2"; }
wait_for 10 publish 0 "first tables" > /dev/null || { publish 0 "first tables" || true; failed "cannot publish the tables"; }
in_force() { # REVISION COUNT: that many instances have it, and none is late
  local status
  status=$(get "http://$entry/ibisshed/v1/tables/status") || return 1
  [ "$(grep -o "\"revision\":$1" <<< "$status" | wc -l)" -gt "$2" ] && ! grep -q '"late":true' <<< "$status"
}
wait_for 20 in_force 1 7 || failed "revision 1 is not in force everywhere"
endpoints_known() { [ "$(get "http://$entry/ibisshed/v1/endpoints" | grep -o '"endpoint":' | wc -l)" -eq 8 ]; }
wait_for 20 endpoints_known || failed "the entry does not know all endpoints"

run traffic "$bin/Demo/ibisdemo" traffic --entries "$entries" --seconds 25 --jobs 6 --result "$dir/result.json"
traffic=${pid[traffic]}
sleep 4
# An agent that does not own its cell, while its tasks run; its worker's leases then end.
victim=agent-2
owners=$(get "http://$entry/ibisshed/v1/cells")
grep -q "\"owner\":\"$victim\"" <<< "$owners" && victim=agent-3
kill_hard "$victim"
echo "demo: killed $victim"
sleep 5
sed -i 's/price_micro = 100/price_micro = 120/' "$dir/tables/routes.toml"
publish 1 "quotes cost more" > /dev/null || failed "cannot edit the tables"
# Entries ask the cells of other regions every 5 s only, so the view lags behind.
wait_for 12 in_force 2 5 || failed "revision 2 is not in force everywhere"
echo "demo: revision 2 is in force"
sleep 2
kill_hard entry-2
echo "demo: killed entry-2"
wait "$traffic" || failed "the callers ended with an error"
unset "pid[traffic]"

daemons=()
for name in entry-1 agent-1 agent-2 agent-3 agent-4 agent-5 agent-6; do
  [ -z "${pid[$name]:-}" ] || daemons+=("$name")
done
for name in "${daemons[@]}"; do kill -TERM "${pid[$name]}"; done
for name in "${daemons[@]}"; do
  status=0
  wait "${pid[$name]}" || status=$?
  unset "pid[$name]"
  [ $status -eq 0 ] || failed "$name ended with status $status"
done
echo "demo: ${#daemons[@]} daemons stopped gracefully"
workers=$(for name in "${!worker[@]}"; do echo -n "127.0.0.1:${worker[$name]},"; done)
endpoints=$(for name in "${!endpoint[@]}"; do echo -n "${endpoint[$name]},"; done)
status=0
"$bin/Demo/ibisdemo" audit --result "$dir/result.json" --endpoints "$endpoints" --workers "$workers" > "$dir/audit" || status=$?
cat "$dir/audit"
[ $status -ne 0 ] || kept=
exit $status
