#!/usr/bin/env bash
# What the path costs: bench-path.sh BUILD
# Added time to first token over a direct call to the stand-in engine, streamed
# pieces a second through one gateway, memory at rest and under 500 streams.
# The targets are those of the design: added p99 under 2 ms, over 100,000
# pieces a second for each core of a gateway, under 32 MB.
BUILD=${1:-build}
. "$(dirname "$0")/fleet.sh"
seed=1

memory_kb () { awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[$1]}/status"; }
cpu_ms () {
  awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' \
    "/proc/${pid_of[$1]}/stat"
}
field () { grep -o "\"$1\":[0-9.]*" <<<"$2" | head -1 | cut -d: -f2; }

standin kv kv
standin hosts hosts
for e in e1 e2; do
  standin $e engine --name $e --model oracolo --version v1 \
    --piece-tokens 2000 --prefill-rate 0 --decode-ms 0 --slots 1000
  listed $e dc-1 oracolo engine
done
hosts_publish
piece_tokens=2000
gateway_settings='"admission": { "concurrency": 2000, "queue_limit": 4000 },
  "log": { "level": "warn" },'
shard_settings='"log": { "level": "warn" },'
plan_daemons gateway-1 shard-1
daemon shard-1 shard dc-1
daemon gateway-1 gateway dc-1
small_sheet
sheet >"$fleet_dir/sheet.csv"
sleep 1
operator POST /v1/operator/sheet/apply gateway-1 "$fleet_dir/sheet.csv" \
  >/dev/null
wait_ready gateway-1
sleep 4
echo "memory at rest: gateway $(memory_kb gateway-1) kB," \
  "shard $(memory_kb shard-1) kB"

mix () { # RATE PROMPT_TOKENS MAX_TOKENS
  cat >"$fleet_dir/mix.json" <<EOF
{"kinds": [{"name": "check", "key": "key-1", "model": "oracolo", "rate": $1,
  "prompt_tokens": $2, "max_tokens": $3, "stream": true, "idempotent": true,
  "deadline_ms": 10000}]}
EOF
}
run () { # URL SECONDS
  "$BUILD/load" --gateway "$1" --mix "$fleet_dir/mix.json" --seed $seed \
    --seconds "$2"
}

mix 200 4000 10
direct=$(run "http://${address_of[e1]}" 10)
through=$(run "http://${address_of[gateway-1]}" 10)
echo "direct:  $direct"
echo "through: $through"

mix 100 100 3000
before=$(cpu_ms gateway-1)
streamed=$(run "http://${address_of[gateway-1]}" 5)
after=$(cpu_ms gateway-1)
echo "streams: $streamed"
awk "BEGIN { printf \"pieces a second of gateway processor time: %.0f\n\",
  $(field count "$streamed") * 3001 / (($after - $before) / 1000) }"

mix 500 4000 2
sed -i 's/"max_tokens": 2/"max_tokens": 400/' "$fleet_dir/mix.json"
kill "${pid_of[e1]}" "${pid_of[e2]}"
hosts_json=
for e in e3 e4; do
  standin $e engine --name $e --model oracolo --version v1 \
    --piece-tokens 2000 --prefill-rate 0 --decode-ms 20 --slots 1000
  listed $e dc-1 oracolo engine
done
hosts_publish
sleep 2
before=$(cpu_ms gateway-1)
run "http://${address_of[gateway-1]}" 1 >"$fleet_dir/held" &
sleep 4
echo "memory under 500 streams: gateway $(memory_kb gateway-1) kB," \
  "shard $(memory_kb shard-1) kB"
wait $!
after=$(cpu_ms gateway-1)
awk "BEGIN { printf \"paced pieces a second of gateway processor time: %.0f\n\",
  $(field pieces "$(cat "$fleet_dir/held")") / (($after - $before) / 1000) }"
cat "$fleet_dir/held"
