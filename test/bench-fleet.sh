#!/usr/bin/env bash
# Policies side by side on real processes, on loopback and scaled down:
#   bench-fleet.sh BUILD [--seed N] [--seconds S] [--out PREFIX]
#     [--mixes "trapani ..."] [--policies "cost ..."]
#     [--fault-policies "cost ..."]
# For each mix and policy a fresh fleet takes the same arrivals at 0.5, 1.0
# and 2.0 times capacity; then at 1.0 with a store dead, links slowed tenfold,
# an engine lost, a gateway killed. Load 1.0 fills the engines' prefill if
# whatever comes back is reused; without reuse it is 2.2 (trapani) and 3.0
# (pawtrace) times their rate. Prints a table; writes PREFIX.txt and
# PREFIX.json (raw reports).
BUILD=${1:-build}
shift
seed=1
seconds=15
out=
policies="cost round_robin least_loaded prefix_affinity"
fault_policies=$policies
mixes="trapani pawtrace"
while [ $# -gt 1 ]; do
  case $1 in
  --seed) seed=$2 ;;
  --seconds) seconds=$2 ;;
  --out) out=$2 ;;
  --mixes) mixes=$2 ;;
  --policies) policies=$2 ;;
  --fault-policies) fault_policies=$2 ;;
  *) echo "bench-fleet.sh: $1 is unknown" >&2 && exit 2 ;;
  esac
  shift 2
done
here=$(dirname "$0")
engine_count=6
prefill_rate=6000 # tokens/s of an engine
link_rate=2500000 # bytes/s of a store's link
engines=$(seq -f 'e%g' $engine_count)
organisations=10

table=$(mktemp)
raw=$(mktemp)

# New prompt tokens/s of a mix at its own rates
declare -A mix_tokens=([trapani]=5000 [pawtrace]=2820)

ten_organisations () {
  local n
  row version model=oracolo version=v1
  row model model=oracolo version=v1 service=oracolo
  for n in $(seq $organisations); do
    row organisation organisation=org-$n weight=1 requests_per_s=10000 \
      in_flight=1000
    row key organisation=org-$n name=main key_hash="$(b2 key-$n)"
    row kind organisation=org-$n name=briefing model=oracolo priority=5 \
      deadline_ms=15000 idempotent=yes retained=yes
    row kind organisation=org-$n name=check model=oracolo priority=0 \
      deadline_ms=2000 idempotent=yes retained=no
  done
}

metrics () {
  local d
  for d in gateway-1 gateway-2 shard-1 shard-2; do
    kill -0 "${pid_of[$d]}" 2>/dev/null || continue
    curl -s -m 2 "http://${address_of[$d]}/metrics" | sed "s/^/$d /"
  done
}

# fleet POLICY: a fresh one
fleet () {
  local e s d
  policy=$1
  standin kv kv
  standin hosts hosts
  for e in $engines; do
    standin "$e" engine --name "$e" --model oracolo --version v1 \
      --piece-tokens 100 --prefill-rate $prefill_rate --decode-ms 5 \
      --cache-blocks 300 --load-lag-ms 100 --event-lag-ms 100
    listed "$e" dc-1 oracolo engine
  done
  for s in store-a store-b; do
    standin $s store --link-bytes-per-s $link_rate
    listed $s dc-1 $s store
  done
  hosts_publish
  store_settings="\"link_bytes_per_s\": $link_rate"
  gateway_settings='"admission": { "concurrency": 24 },
    "log": { "level": "warn" },'
  shard_settings='"log": { "level": "warn" },'
  plan_daemons gateway-1 gateway-2 shard-1 shard-2
  for d in shard-1 shard-2; do daemon $d shard dc-1; done
  for d in gateway-1 gateway-2; do daemon $d gateway dc-1; done
  ten_organisations
  sheet >"$fleet_dir/sheet.csv"
  applied () {
    operator POST /v1/operator/sheet/apply gateway-1 "$fleet_dir/sheet.csv" \
      2>/dev/null | grep -q '"revision"'
  }
  wait_until 15 applied
  wait_ready gateway-1 && wait_ready gateway-2 || exit 1
  sleep 1.5
}

# The row of one run, from the load tool's report and the metrics before and
# after; counters of processes that died are left out.
row_print () { # MIX POLICY LOAD FAULT
  awk -v mix="$1" -v policy="$2" -v load="$3" -v fault="$4" \
    -v seconds="$seconds" '
    FILENAME ~ /before$/ { before[$1 " " $2] = $3; next }
    FILENAME ~ /after$/ {
      name = $2
      sub (/\{.*/, "", name)
      delta = $3 - before[$1 " " $2]
      sum[name] += delta
      if (name == "requests" && match ($2, /organisation="[^"]*"/)) {
        org = substr ($2, RSTART, RLENGTH)
        all[org] += delta
        if ($2 ~ /outcome="complete"/) whole[org] += delta
      }
      next
    }
    /^    "[a-z]+":\{/ { split ($0, part, "\""); kind = part[2] }
    /"(first_token_ms|total_ms|outcomes|codes|failures)":/ {
      split ($0, part, "\""); group = part[2] }
    match ($0, /"[a-z0-9_]+": *[0-9.]+/) {
      split ($0, part, "\"")
      value = $0
      sub (/^[^:]*: */, "", value)
      sub (/,$/, "", value)
      if (part[2] == "count") count[kind] = value
      value_of[kind, group, part[2]] = value
    }
    END {
      for (o in all) if (all[o] > 0) {
        share = 100 * whole[o] / all[o]
        if (least == "" || share < least) least = share }
      good = value_of["briefing", "outcomes", "complete"] \
        + value_of["check", "outcomes", "complete"]
      offered = count["briefing"] + count["check"]
      tokens = sum["tokens_reused"] + sum["tokens_imported"] \
        + sum["tokens_recomputed"]
      reused = sum["tokens_reused"] + sum["tokens_imported"]
      bytes = sum["import_bytes"] + sum["export_bytes"]
      g = "first_token_ms"
      printf "%-8s %-15s %4s %-7s ", mix, policy, load, fault
      printf "%6.0f %6.0f %6.0f ", value_of["check", g, "p50"],
        value_of["check", g, "p95"], value_of["check", g, "p99"]
      printf "%6.0f %6.0f %6.0f ", value_of["briefing", g, "p50"],
        value_of["briefing", g, "p95"], value_of["briefing", g, "p99"]
      printf "%6.1f %7.0f %7.0f %7.3f ",
        tokens ? 100 * sum["tokens_recomputed"] / tokens : 0,
        sum["import_bytes"] / 1000, sum["export_bytes"] / 1000,
        reused ? bytes / reused : 0
      printf "%5d %5d %5d %5d %6.1f %5.0f\n", offered, good,
        value_of["check", "outcomes", "complete"],
        sum["refusals"], good / seconds, least
    }' "$fleet_dir/before" "$fleet_dir/after" "$fleet_dir/report" \
    | tee -a "$table"
}

# run MIX POLICY LOAD FAULT
run () {
  local mix=$1 scale loader
  scale=$(awk "BEGIN { print $3 * $engine_count * $prefill_rate \
    / ${mix_tokens[$mix]} }")
  metrics >"$fleet_dir/before"
  "$BUILD/load" --gateway "http://${address_of[gateway-1]}" \
    --gateway "http://${address_of[gateway-2]}" --entries --retries 1 \
    --mix "$here/mix-$mix.json" --seed $((seed * 10 + ${3%.*})) \
    --seconds "$seconds" --drain 4 --rate-scale "$scale" >"$fleet_dir/report" &
  loader=$!
  sleep 2
  case $4 in
  store) kill -9 "${pid_of[store-a]}" ;;
  link) for s in store-a store-b; do
    curl -s -d '{"link_percent":10}' \
      "http://${address_of[$s]}/control/faults" >/dev/null
  done ;;
  engine) kill -9 "${pid_of[e1]}" ;;
  gateway) kill -9 "${pid_of[gateway-1]}" ;;
  esac
  wait $loader
  metrics >"$fleet_dir/after"
  row_print "$1" "$2" "$3" "$4"
  {
    echo "{\"mix\":\"$1\",\"policy\":\"$2\",\"load\":$3,\"fault\":\"$4\","
    echo "\"report\":$(cat "$fleet_dir/report")}"
  } >>"$raw"
}

# Each fleet lives in a subshell, which ends it.
in_fleet () { # POLICY COMMANDS
  (
    . "$here/fleet.sh"
    fleet "$1"
    eval "$2"
  ) 2>/dev/null
}

{
  echo "# bench-fleet.sh BUILD --seed $seed --seconds $seconds" \
    "--mixes \"$mixes\" --policies \"$policies\"" \
    "--fault-policies \"$fault_policies\""
  echo "# $engine_count engines of $prefill_rate prompt tokens/s, two store" \
    "links of $link_rate bytes/s, two gateways, two shards; ms, kB"
  printf '%-8s %-15s %4s %-7s %-20s %-20s ' mix policy load fault \
    "check TTFT 50/95/99" "brief. TTFT 50/95/99"
  printf '%6s %7s %7s %7s %5s %5s %5s %5s %6s %5s\n' "recom%" "imp kB" \
    "exp kB" "B/reuse" sent good check refus good/s "org%"
} | tee "$table"
for mix in $mixes; do
  for p in $policies; do
    in_fleet $p "run $mix $p 0.5 none; run $mix $p 1.0 none
      run $mix $p 2.0 none"
  done
done
for mix in $mixes; do
  for p in $fault_policies; do
    for fault in store link engine gateway; do
      in_fleet "$p" "run $mix $p 1.0 $fault"
    done
  done
done
if [ -n "$out" ]; then
  cp "$table" "$out.txt"
  { echo '['; sed '$!s/^]}$/&/' "$raw" | sed 's/^{"mix"/,&/' | sed '1s/^,//'
    echo ']'; } >"$out.json"
fi
rm -f "$table" "$raw"
