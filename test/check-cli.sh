#!/usr/bin/env bash
# The command-line tool against two gateways, a shard and the stand-in of the
# KV service: check-cli.sh BUILD
BUILD=${1:-build}
. "$(dirname "$0")/fleet.sh"

failed=0
# check NAME WANTED_EXIT PATTERN COMMAND...: the tool's exit code and output
check () {
  local name=$1 wanted=$2 pattern=$3 output code
  shift 3
  output=$("$@" 2>&1)
  code=$?
  if [ $code -eq "$wanted" ] && grep -Eq -- "$pattern" <<<"$output"; then
    echo "ok cli-fleet/$name"
  else
    echo "not ok cli-fleet/$name"
    echo "  exit $code, wanted $wanted and '$pattern'; the output ends:"
    tail -4 <<<"$output"
    failed=1
  fi
}

tool () {
  "$BUILD/trefoilspar" "$@" -g "${address_of[gateway-1]}" \
    -g "${address_of[gateway-2]}" -o tester
}

second () { "$BUILD/trefoilspar" "$@" -g "${address_of[gateway-2]}" -o other; }

# edited FROM TO: the export with one edit
edited () { tool sheet export | sed "s/$1/$2/"; }

ready () { tool sheet plan etc/trapani.csv >/dev/null 2>&1; }

standin kv kv
standin hosts hosts
plan_daemons gateway-1 gateway-2 shard-1
daemon shard-1 shard dc-1
daemon gateway-1 gateway dc-1
daemon gateway-2 gateway dc-1
export TREFOILSPAR_OPERATOR_KEY=$operator_key
wait_until 10 ready

check apply 0 'in force in 3 of 3' \
  tool sheet apply --wait -t 15 etc/trapani.csv
check apply-again 0 '0 to change, 69 unchanged' \
  tool sheet apply etc/trapani.csv
check export 0 '^end,69' tool sheet export
TREFOILSPAR_OPERATOR_KEY=wrong check wrong-key 7 'bearer key' tool status

# Two operators with the same export: one change each, then a clash.
sheet_a=$fleet_dir/a.csv sheet_b=$fleet_dir/b.csv
edited ',milo,,,,,4,' ',milo,,,,,5,' >"$sheet_a"
edited ',salemi,,,,,4,' ',salemi,,,,,6,' >"$sheet_b"
tool sheet apply "$sheet_a" >/dev/null 2>&1 &
check race 0 'weight: 4 -> 6' second sheet apply "$sheet_b"
wait $!
check race-wait 0 'in force in 3 of 3' tool sheet status --wait -t 15
check race-one 0 ',milo,,,,,5,' second sheet export
check race-other 0 ',salemi,,,,,6,' tool sheet export
# The first sheet again: it reverts neither.
check old-sheet 3 '0 to change, 67 unchanged, 2 refused' \
  tool sheet apply etc/trapani.csv
edited ',milo,,,,,5,' ',milo,,,,,7,' >"$sheet_a"
sed 's/,milo,,,,,7,/,milo,,,,,8,/' "$sheet_a" >"$sheet_b"
check clash-first 0 'weight: 5 -> 7' tool sheet apply --wait -t 15 "$sheet_a"
check clash-second 3 'column weight: changed here and in revision' \
  second sheet apply "$sheet_b"
check history 0 'revision 4 .* tester  1 changed' tool config history
check diff 0 'weight: 5 -> 7' tool config diff --from 3

# The KV service stands still: nothing is lost or taken back.
edited ',milo,,,,,7,' ',milo,,,,,9,' >"$sheet_a"
kill -STOP "${pid_of[kv]}"
check outage-export 0 ',milo,,,,,7,' tool sheet export
check outage-apply 5 'no answer|answered 503' \
  tool sheet apply -t 1 "$sheet_a"
kill -CONT "${pid_of[kv]}"
check after-outage 0 'in force in 3 of 3' \
  tool sheet apply --wait -t 20 "$sheet_a"
check after-outage-export 0 ',milo,,,,,9,' second sheet export

# One gateway dies: the tool goes on to the next.
kill -9 "${pid_of[gateway-1]}"
wait "${pid_of[gateway-1]}" 2>/dev/null
edited ',milo,,,,,9,' ',milo,,,,,3,' >"$sheet_a"
check gateway-dead 0 'weight: 9 -> 3' tool sheet apply "$sheet_a"
exit $failed
