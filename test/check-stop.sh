#!/usr/bin/env bash
# An entry process that stops as planned while datagrams arrive must not end by
# a signal: check-stop.sh BUILD [STOPS]
build=${1:-build}
stops=${2:-5}
export G_SLICE=always-malloc
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
jobs=4
report_bytes=8
for ((i = 0; i < 20000; i++)); do
  printf '\x01\x0a\x01a\x10\x02\x18\x03'
done >"$folder/reports"

# Taken at once, so that no two processes get the same one.
mapfile -t free_ports < <("$build/freeports" $((stops * jobs * 5)))

# wait_started LOG PID: until the process handles signals; a busy machine makes
# that longer.
wait_started () {
  local tries
  for ((tries = 0; tries < 600; tries++)); do
    grep -q '"name":"start"' "$1" 2>/dev/null && return 0
    kill -0 "$2" 2>/dev/null || return 1
    sleep 0.02
  done
  return 1
}

# stop NUMBER PORT...: start an entry process, and stop it while datagrams come.
stop () {
  local settings=$folder/$1.json
  local ports=("${@:2}")
  local status
  cat >"$settings" <<SETTINGS
{
  "process": { "name": "h$1", "role": "entry", "data_centre": "dc" },
  "listen": { "http": "127.0.0.1:${ports[0]}",
              "directory": "127.0.0.1:${ports[1]}",
              "ready": "127.0.0.1:${ports[2]}",
              "peer": "127.0.0.1:${ports[3]}",
              "metrics": "127.0.0.1:${ports[4]}" },
  "kv": { "address": ["127.0.0.1:9"] },
  "entries": { "lifetime_ms": 100 },
  "timeouts": { "stop_s": 2 }
}
SETTINGS
  "$build/trefoilspard" --config "$settings" >"$folder/$1.log" 2>&1 &
  local pid=$!
  exec 3<>"/dev/udp/127.0.0.1/${ports[3]}"
  wait_started "$folder/$1.log" $pid || echo "  $1 did not start"
  sleep 0.3
  kill -TERM $pid
  # More reports of load than the process handles, so that some are left when
  # its loop ends.
  while kill -0 $pid 2>/dev/null; do
    dd if="$folder/reports" bs=$report_bytes status=none >&3
  done 2>/dev/null
  wait $pid
  status=$?
  [ $status -eq 0 ] || echo "  $1 ended with exit status $status"
  return $status
}

failed=0
for ((i = 0; i < stops; i++)); do
  running=()
  for ((j = 0; j < jobs; j++)); do
    stop "$i-$j" "${free_ports[@]:$(((i * jobs + j) * 5)):5}" &
    running+=($!)
  done
  for pid in "${running[@]}"; do
    wait "$pid" || failed=$((failed + 1))
  done
done
if [ $failed -eq 0 ]; then
  echo "ok stop/datagrams-during-the-end"
else
  echo "not ok stop/datagrams-during-the-end"
  echo "  $failed of $((stops * jobs)) stops ended by a signal or an error"
  cat "$folder"/*.log | grep -v '^{' | head -20
  exit 1
fi
