#!/usr/bin/env bash
# At most once on real processes, the long form:
#   proof.sh BUILD [--keys N] [--seed N] [--outage S]
# Sends each key to both gateways while gateways and shards are killed and
# started again, the first shard is paused beyond its lease, and the KV
# service loses replies and is out for a while. Prints counts; ends with 1 if
# a promise is broken.
BUILD=${1:-build}
shift
keys=10000
seed=1
outage_s=60
while [ $# -gt 1 ]; do
  case $1 in
  --keys) keys=$2 ;;
  --seed) seed=$2 ;;
  --outage) outage_s=$2 ;;
  *) echo "proof.sh: $1 is unknown" >&2 && exit 2 ;;
  esac
  shift 2
done
RANDOM=$seed
. "$(dirname "$0")/fleet.sh"
. "$(dirname "$0")/once-chaos.sh"

standin kv kv
standin hosts hosts
for s in svc1 svc2; do
  standin $s service
  listed $s dc-1 centrale service
done
hosts_publish
plan_daemons gateway-1 gateway-2 shard-1 shard-2 shard-3
gateway_settings='"log": { "level": "warn" },'
shard_settings=$gateway_settings
for d in shard-1 shard-2 shard-3; do daemon $d shard dc-1; done
for d in gateway-1 gateway-2; do daemon $d gateway dc-1; done
small_sheet
sheet >"$fleet_dir/sheet.csv"
applied () {
  operator POST /v1/operator/sheet/apply gateway-1 "$fleet_dir/sheet.csv" \
    2>/dev/null | grep -q '"revision"'
}
wait_until 15 applied
wait_ready gateway-1 && wait_ready gateway-2 || exit 1
sleep 1

echo "keys $keys, seed $seed, outage $outage_s s"
started=$SECONDS
once_send "$keys" 40 0.6 &
sender=$!
once_chaos $sender "$outage_s" 6 3
wait $sender
for d in gateway-1 gateway-2; do wait_ready $d; done
sleep 3
cp "$fleet_dir/answers" "$fleet_dir/answers-first"
# All again when the faults are over: what ran is replayed, the rest runs now.
for ((first = 1; first <= keys; first += 500)); do
  last=$((first + 499))
  once_wave "$first" $((last < keys ? last : keys)) \
    gateway-$((first % 1000 / 500 + 1))
done
once_verdict svc1 svc2
cat "$fleet_dir/verdict"
awk '{ a[$3 == "" ? "none" : $3]++ }
  END { for (n in a) printf "while faults last: %s %d\n", n, a[n] }' \
  "$fleet_dir/answers-first"
echo "kills $once_kills, pauses $once_pauses of 6 s, outages $once_outages," \
  "replies lost up to $once_lost, $((SECONDS - started)) s"
if [ "$once_wrong" -ne 0 ] || [ $once_outages -eq 0 ] \
  || [ "$(awk '/^keys/ { print $2 }' "$fleet_dir/verdict")" -ne "$keys" ]; then
  echo "not ok proof/once"
  exit 1
fi
echo "ok proof/once"
