#!/usr/bin/env bash
# The command "explain" and POST /explain at a real entry host that has no
# configuration yet: check-explain.sh BUILD. What the reply says otherwise is
# tested by test-explain.
build=${1:-build}
folder=$(mktemp -d)
failed=0

# check NAME WANTED_EXIT PATTERN COMMAND...: the exit code and the output
check () {
  local name=$1 wanted=$2 pattern=$3 output code
  shift 3
  output=$("$@" 2>&1)
  code=$?
  if [ $code -eq "$wanted" ] && grep -Eq -- "$pattern" <<<"$output"; then
    echo "ok explain-host/$name"
  else
    echo "not ok explain-host/$name"
    echo "  exit $code, wanted $wanted and '$pattern'; the output ends:"
    tail -4 <<<"$output"
    failed=1
  fi
}

read -r -a ports <<<"$("$build/freeports" 5 | tr '\n' ' ')"
cat >"$folder/host.json" <<SETTINGS
{
  "process": { "name": "h", "role": "entry", "data_centre": "dc" },
  "listen": { "http": "127.0.0.1:${ports[0]}",
              "directory": "127.0.0.1:${ports[1]}",
              "ready": "127.0.0.1:${ports[2]}",
              "peer": "127.0.0.1:${ports[3]}",
              "metrics": "127.0.0.1:${ports[4]}" },
  "kv": { "address": ["127.0.0.1:9"] },
  "entries": { "lifetime_ms": 100 },
  "timeouts": { "stop_s": 1 }
}
SETTINGS
"$build/trefoilspard" --config "$folder/host.json" >"$folder/log" 2>&1 &
pid=$!
trap 'kill $pid; wait $pid; rm -rf "$folder"' EXIT
metrics=127.0.0.1:${ports[4]}
for _ in $(seq 100); do
  curl -sf -m 1 "http://$metrics/metrics" >/dev/null && break
  sleep 0.05
done

explain () { "$build/trefoilspar" explain -t 5 "$@"; }
# post PORT BODY: the status and the body of the response
post () {
  curl -s -m 5 -w '%{http_code}' -d "$2" "http://127.0.0.1:$1/explain"
}

check command 0 'refused: no_configuration' \
  explain -e "$metrics" --host h --path /x
check json 0 '"reason":"no_configuration"' \
  explain -e "$metrics" --host h --path /x --json
printf '{"host":"h","path":"/x","blocks":[["a",1]]}\n' >"$folder/request.json"
check file 0 'refused: no_configuration' \
  explain -e "$metrics" --file "$folder/request.json"
printf '{"host":"h","path":"/x","blocks":[["a",-1]]}\n' >"$folder/request.json"
check malformed 1 '400: blocks: element 0' \
  explain -e "$metrics" --file "$folder/request.json"
check no-host 1 'no answer' explain -e 127.0.0.1:9 --host h --path /x
check unknown-field 0 'unknown field.*400$' post "${ports[4]}" '{"key":"x"}'
head -c 70000 /dev/zero | tr '\0' ' ' >"$folder/large"
check large-body 0 '413$' post "${ports[4]}" "@$folder/large"
check get 0 '405$' curl -s -m 5 -w '%{http_code}' "http://$metrics/explain"
check metrics-still-there 0 'trefoilspar_connections' \
  curl -s -m 5 "http://$metrics/metrics"
# Only the metrics listener answers; callers' requests are forwarded.
for listener in 0:http 1:directory 2:ready 3:peer; do
  check "not-at-${listener#*:}" 0 '^(400|404|503)$' \
    post "${ports[${listener%%:*}]}" '{"host":"h","path":"/x"}'
done
exit $failed
