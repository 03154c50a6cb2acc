#!/usr/bin/env bash
# Membership and configuration among real processes: check-member.sh BUILD
BUILD=${1:-build}
. "$(dirname "$0")/fleet.sh"
failed=0

check () {
  if "${@:2}"; then
    echo "ok member-processes/$1"
  else
    echo "not ok member-processes/$1"
    operator GET /v1/operator/status gateway-1
    failed=1
  fi
}

# seen GATEWAY NAME STATE: that gateway sees that process in that state
seen () {
  operator GET /v1/operator/status "$1" 2>/dev/null | tr '{' '\n' \
    | grep "\"name\": *\"$2\"" | grep -q "\"state\": *\"$3\""
}

all_alive () {
  local at name
  for at in "${gateways[@]}"; do
    for name in "${daemons[@]}"; do seen "$at" "$name" alive || return 1; done
  done
}

# in_force NAME...: they have a configuration in force
in_force () {
  local name
  for name in "$@"; do
    curl -s -m 2 "http://${address_of[$name]}/metrics" \
      | grep -q '^config_revision [1-9]' || return 1
  done
}

apply () {
  operator POST /v1/operator/sheet/apply gateway-1 "$fleet_dir/sheet.csv" \
    2>/dev/null | grep -q '"revision"'
}

named_in_answer () {
  curl -s -m 2 "http://${address_of[gateway-1]}/v1/entries" \
    | grep -q "${address_of[$1]}"
}

not_named_in_answer () { ! named_in_answer "$1"; }

dies () {
  kill -9 "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
}

kv_outage () {
  curl -s -d "{\"outage\":$1}" "http://${address_of[kv]}/control/faults" \
    >/dev/null
}

serves () { curl -sf -m 2 "http://${address_of[$1]}/healthz" >/dev/null; }

ended () { ! kill -0 "${pid_of[$1]}" 2>/dev/null; }

gateways=(gateway-1 gateway-2 gateway-3 gateway-4)
daemons=("${gateways[@]}" shard-1 shard-2)
standin kv kv
standin hosts hosts
hosts_publish
plan_daemons "${daemons[@]}"
daemon shard-1 shard dc-1
daemon shard-2 shard dc-2
daemon gateway-1 gateway dc-1
for n in 2 3 4; do daemon gateway-$n gateway dc-2; done
check join wait_until 10 all_alive

small_sheet
sheet >"$fleet_dir/sheet.csv"
wait_until 10 apply
check in-force wait_until 5 in_force "${daemons[@]}"

# A fresh process at the same address, while the KV service is out.
kv_outage 1
dies gateway-2
check dead wait_until 15 seen gateway-1 gateway-2 dead
daemon gateway-2 gateway dc-2
check from-peers wait_until 10 in_force gateway-2
check replaced wait_until 10 all_alive
kv_outage 0

# Another name at the address of a dead process.
dies gateway-3
address_of[newcomer]=${address_of[gateway-3]}
peer_of[newcomer]=${peer_of[gateway-3]}
daemon newcomer gateway dc-2
check address-reused wait_until 10 seen gateway-1 newcomer alive
check old-name-dead wait_until 10 seen gateway-1 gateway-3 dead

kill -TERM "${pid_of[gateway-4]}"
check leaves wait_until 3 not_named_in_answer gateway-4
check still-serves serves gateway-4
check ends wait_until 10 ended gateway-4
exit $failed
