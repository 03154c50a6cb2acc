#!/usr/bin/env bash
# Orders on real processes: check-order.sh BUILD
# Weight swaps on six engines while streams run and new requests come.
BUILD=${1:-build}
. "$(dirname "$0")/fleet.sh"
engines="e1 e2 e3 e4 e5 e6"
limit=2
shards="shard-1 shard-2"

# check NAME WANTED GOT
check () {
  if [ "$2" = "$3" ]; then
    echo "ok order-fleet/$1"
  else
    echo "not ok order-fleet/$1"
    echo "  wanted '$2', got '$3'"
    wrong=1
  fi
}
wrong=0

standin kv kv
standin hosts hosts
standin store-a store
standin store-b store
standin weights weights --limit $limit --load-ms 500
for e in $engines; do
  fencing=
  case $e in e1 | e2) fencing=--check-fencing ;; esac
  standin $e engine --name $e --model oracolo --version v1 --decode-ms 20 \
    --piece-tokens $piece_tokens --load-lag-ms 200 $fencing \
    --weights "http://${address_of[weights]}"
  listed $e dc-1 oracolo engine
done
listed store-a dc-1 store-a store
listed store-b dc-1 store-b store
hosts_publish
plan_daemons gateway-1 $shards
for d in $shards; do daemon $d shard dc-1; done
daemon gateway-1 gateway dc-1

apply () {
  operator POST /v1/operator/sheet/apply gateway-1 "$1" \
    >"$fleet_dir/applied" 2>/dev/null
  grep -q '"revision"' "$fleet_dir/applied"
}

# use VERSION: makes it the one that new requests use
use () {
  operator GET /v1/operator/sheet/export gateway-1 >"$fleet_dir/export"
  sed "/^model,/s/,v[0-9]*,oracolo,/,$1,oracolo,/" "$fleet_dir/export" \
    >"$fleet_dir/sheet"
  apply "$fleet_dir/sheet"
}

# declare VERSION
declare_version () {
  sheet_rows=()
  row version model=oracolo version="$1"
  sheet >"$fleet_dir/sheet"
  apply "$fleet_dir/sheet"
}

# having VERSION: how many engines report it
having () {
  local e count=0
  for e in $engines; do
    curl -s "http://${address_of[$e]}/v1/load" \
      | grep -q "\"version\": *\"$1\"" && count=$((count + 1))
  done
  echo $count
}
all_have () { [ "$(having "$1")" = 6 ]; }

# request TOKENS FILE: one streamed request; FILE.head has its headers
request () {
  curl -sN -m 30 -D "$2.head" -o "$2" -H "Authorization: Bearer key-1" \
    -H "X-Kind: check" \
    -d "{\"model\":\"oracolo\",\"prompt\":\"check $2\",\"max_tokens\":$1,
         \"stream\":true}" "http://${address_of[gateway-1]}/v1/completions"
}
version_of () { sed -n 's/^x-weight-version: \([^\r]*\).*/\1/ip' "$1.head"; }
status_of () { awk 'NR == 1 { print $2 }' "$1.head"; }

# probe NAME: short requests one after the other until $fleet_dir/NAME-stop
probe () {
  local n=0
  until [ -e "$fleet_dir/$1-stop" ]; do
    n=$((n + 1))
    request 1 "$fleet_dir/$1-$n"
    echo "$(status_of "$fleet_dir/$1-$n") $(version_of "$fleet_dir/$1-$n")" \
      >>"$fleet_dir/$1"
    sleep 0.05
  done
}

# streams NAME: eight streams of six seconds; waits until they run
streams () {
  local n
  stream_pids=()
  for n in 1 2 3 4 5 6 7 8; do
    request 300 "$fleet_dir/$1-$n" &
    stream_pids+=($!)
  done
  sleep 1
}

# streams_whole NAME VERSION: sets whole to how many ended whole on VERSION
streams_whole () {
  local n
  whole=0
  wait "${stream_pids[@]}"
  for n in 1 2 3 4 5 6 7 8; do
    [ "$(grep -c '"text"' "$fleet_dir/$1-$n")" = 300 ] \
      && grep -q '^data: \[DONE\]' "$fleet_dir/$1-$n" \
      && [ "$(version_of "$fleet_dir/$1-$n")" = "$2" ] \
      && whole=$((whole + 1))
  done
}

small_sheet
row backend_server name=oracolo fencing=ignored load_limit=$limit
for e in e1 e2; do
  row backend_server name=$e fencing=checked load_limit=$limit
done
sheet >"$fleet_dir/sheet"
wait_until 10 apply "$fleet_dir/sheet"
wait_ready gateway-1 || exit 1
sleep 2

echo "# one step: v2, which no engine has, is made current"
streams old
use v2
probe swap &
probe_pid=$!
wait_until 40 all_have v2
check all_engines_got_the_version 6 "$(having v2)"
check old_version_stays 6 "$(having v1)"
streams_whole old v1
check streams_keep_their_version 8 "$whole"
sleep 1
touch "$fleet_dir/swap-stop"
wait $probe_pid
sort "$fleet_dir/swap" | uniq -c | sed 's/^/#/'
check new_requests_use_the_version v2 \
  "$(awk '$1 == 200 { v = $2 } END { print v }' "$fleet_dir/swap")"
check no_request_on_another_version 0 \
  "$(awk '$1 == 200 && $2 != "v2"' "$fleet_dir/swap" | wc -l)"

echo "# two steps: v3 is declared, then made current"
declare_version v3
wait_until 40 all_have v3
check upcoming_version_is_loaded 6 "$(having v3)"
probe next &
probe_pid=$!
streams second
use v3
streams_whole second v2
check streams_keep_their_version_again 8 "$whole"
touch "$fleet_dir/next-stop"
wait $probe_pid
sort "$fleet_dir/next" | uniq -c | sed 's/^/#/'
check no_request_fails 0 \
  "$(awk '$1 != 200' "$fleet_dir/next" | wc -l)"
check last_request_uses_it v3 "$(awk 'END { print $2 }' "$fleet_dir/next")"

echo "# a shard dies in the middle of a swap"
declare_version v4
wait_until 20 sh -c "curl -s http://${address_of[weights]}/control/stats \
  | grep -q '\"active\": *[12]'"
kill -9 "${pid_of[shard-1]}"
wait_until 40 all_have v4
check survivor_goes_on 6 "$(having v4)"

stats=$(curl -s "http://${address_of[weights]}/control/stats")
echo "# weight store: $stats"
check loads_at_a_time 2 "$(grep -o '"max_active": *[0-9]*' <<<"$stats" \
  | grep -o '[0-9]*$')"
check loads 18 "$(grep -o '"total": *[0-9]*' <<<"$stats" | grep -o '[0-9]*$')"
for d in $shards; do
  curl -s "http://${address_of[$d]}/metrics" | grep '^order' \
    | sed "s/^/# $d /"
done
exit $wrong
