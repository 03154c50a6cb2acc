#!/usr/bin/env bash
# New settings that are read during a planned stop must not shorten its grace
# time: check-reload.sh BUILD
build=${1:-build}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
read -r -a ports <<<"$("$build/freeports" 5 | tr '\n' ' ')"

# settings STOP_S
settings () {
  cat >"$folder/new.json" <<SETTINGS
{
  "process": { "name": "h", "role": "entry", "data_centre": "dc" },
  "listen": { "http": "127.0.0.1:${ports[0]}",
              "directory": "127.0.0.1:${ports[1]}",
              "ready": "127.0.0.1:${ports[2]}",
              "peer": "127.0.0.1:${ports[3]}",
              "metrics": "127.0.0.1:${ports[4]}" },
  "kv": { "address": ["127.0.0.1:9"] },
  "entries": { "lifetime_ms": 100 },
  "timeouts": { "stop_s": $1 }
}
SETTINGS
  mv "$folder/new.json" "$folder/settings.json"
}

settings 6
"$build/trefoilspard" --config "$folder/settings.json" >"$folder/log" 2>&1 &
pid=$!
for ((i = 0; i < 100; i++)); do
  grep -q '"start"' "$folder/log" && break
  sleep 0.05
done
# A request that is not complete keeps the process until the end of its time.
exec 3<>"/dev/tcp/127.0.0.1/${ports[0]}"
printf 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n' >&3
sleep 0.3
kill -TERM $pid
sleep 0.2
settings 1
kill -HUP $pid
sleep 2
if kill -0 $pid 2>/dev/null; then
  echo "ok reload/settings-read-during-a-stop"
  failed=0
else
  echo "not ok reload/settings-read-during-a-stop"
  tail -3 "$folder/log"
  failed=1
fi
kill -KILL $pid 2>/dev/null
wait $pid 2>/dev/null
exit $failed
