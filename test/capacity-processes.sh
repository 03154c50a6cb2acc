#!/usr/bin/env bash
# What a gateway and a shard cost at rest, by the number of engines in the
# host list: capacity-processes.sh BUILD. One "NAME VALUE" a line; processor
# time in microseconds a second, memory in KB, bytes a second.
BUILD=${1:-build}
. "$(dirname "$0")/fleet.sh"
span_s=5
few=40
many=440

cpu_us () {
  awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000000 / hz }' \
    "/proc/${pid_of[$1]}/stat"
}
memory_kb () { awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[$1]}/status"; }
metric () {
  curl -s "http://${address_of[$1]}/metrics" \
    | awk -v name="$2" '$1 == name { print $2 }'
}

# engines COUNT: so many names over the four stand-ins
engines () {
  local i
  hosts_json=
  for i in $(seq "$1"); do
    address_of[n$i]=${address_of[e$((i % 4))]}
    listed n$i dc-1 oracolo engine
  done
  hosts_publish
  sleep 4
}

# measure SUFFIX: both processes over a while
measure () {
  local d before_us before_bytes
  for d in gateway shard; do
    before_us=$(cpu_us $d)
    before_bytes=$(metric $d control_bytes_out)
    sleep $span_s
    echo "$d"_cpu_us_"$1" $((($(cpu_us $d) - before_us) / span_s))
    echo "$d"_control_bytes_"$1" \
      $((($(metric $d control_bytes_out) - before_bytes) / span_s))
    echo "$d"_memory_kb_"$1" "$(memory_kb $d)"
  done
}

standin kv kv
standin hosts hosts
for e in e0 e1 e2 e3; do
  standin $e engine --name $e --model oracolo --version v1 \
    --piece-tokens 2000 --prefill-rate 0 --decode-ms 0 --slots 1000
done
gateway_settings='"log": { "level": "warn" },'
shard_settings='"log": { "level": "warn" },'
piece_tokens=2000
plan_daemons gateway shard
daemon shard shard dc-1
daemon gateway gateway dc-1
small_sheet
sheet >"$fleet_dir/sheet.csv"
sleep 1
operator POST /v1/operator/sheet/apply gateway "$fleet_dir/sheet.csv" \
  >/dev/null
wait_ready gateway || exit 1
engines $few
measure $few
engines $many
measure $many
