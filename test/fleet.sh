# Functions to run a small fleet on loopback: stand-ins, shards, gateways.
# Source it after setting BUILD. Everything it starts ends with the script.

fleet_dir=$(mktemp -d)
fleet_pids=()
declare -A pid_of address_of
hosts_json=

fleet_stop () {
  local p
  for p in "${fleet_pids[@]}"; do kill -CONT "$p"; kill "$p"; done 2>/dev/null
  sleep 0.2
  for p in "${fleet_pids[@]}"; do kill -9 "$p"; done 2>/dev/null
  wait 2>/dev/null
  rm -rf "$fleet_dir"
}
trap fleet_stop EXIT

# standin NAME ROLE OPTIONS...: sets address_of[NAME] and pid_of[NAME]
standin () {
  local name=$1 out=$fleet_dir/$1.out
  shift
  "$BUILD/standin" "$@" >"$out" 2>"$fleet_dir/$name.log" &
  pid_of[$name]=$!
  fleet_pids+=($!)
  for _ in $(seq 300); do
    [ -s "$out" ] && break
    sleep 0.01
  done
  address_of[$name]=127.0.0.1:$(awk '{ print $2; exit }' "$out")
}

# listed NAME DATA_CENTRE SERVICE KIND [STATE]: adds NAME to the host list
listed () {
  hosts_json+="${hosts_json:+,}{\"name\":\"$1\",\"address\":\"${address_of[$1]}\""
  hosts_json+=",\"data_centre\":\"$2\",\"service\":\"$3\",\"kind\":\"$4\""
  hosts_json+=",\"state\":\"${5:-live}\"}"
}

hosts_publish () {
  curl -sS -m 5 -d "{\"hosts\":[$hosts_json]}" \
    "http://${address_of[hosts]}/control/hosts" >/dev/null
}

# plan_daemons NAME...: chooses ports; address_of[NAME] and peer_of[NAME]
declare -A peer_of
seeds_json=
plan_daemons () {
  local ports name
  mapfile -t ports < <("$BUILD/freeports" $((2 * $#)))
  for name in "$@"; do
    address_of[$name]=127.0.0.1:${ports[0]}
    peer_of[$name]=127.0.0.1:${ports[1]}
    ports=("${ports[@]:2}")
    seeds_json+="${seeds_json:+, }\"${peer_of[$name]}\""
  done
}

# Settings that every daemon of the fleet adds; a script may change them.
fleet_settings='
  "entries": { "lifetime_ms": 1000 },'
piece_tokens=100

# daemon NAME ROLE DATA_CENTRE [MORE_SETTINGS]
daemon () {
  local name=$1
  cat >"$fleet_dir/$name.json" <<EOF
{
  // $name of a fleet on loopback
  "process": { "name": "$name", "role": "$2", "data_centre": "$3" },
  "listen": { "http": "${address_of[$name]}", "peer": "${peer_of[$name]}" },
  "seeds": [$seeds_json],
  "kv": { "address": ["${address_of[kv]}"], "timeout_ms": 1000,
          "lease_ttl_ms": 3000 ${kv_settings-} },
  "host_list": { "address": "${address_of[hosts]}", "poll_ms": 500 },
  "placement": { "piece_tokens": $piece_tokens, "policy": "${policy:-cost}"
                 ${placement_settings-} },
  $fleet_settings
  ${4-}
  "blocks": { "hash_key":
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f" },
  "stores": { "names": ["store-a", "store-b"] ${store_settings-} }
}
EOF
  "$BUILD/trefoilspard" --config "$fleet_dir/$name.json" \
    >"$fleet_dir/$name.out" 2>>"$fleet_dir/$name.log" &
  pid_of[$name]=$!
  fleet_pids+=($!)
}

# wait_ready NAME: until the daemon NAME says that it is ready
wait_ready () {
  for _ in $(seq 200); do
    curl -sf -m 1 "http://${address_of[$1]}/readyz" >/dev/null && return 0
    sleep 0.05
  done
  echo "$1 does not get ready" >&2
  tail -3 "$fleet_dir/$1.log" >&2
  return 1
}

# wait_until SECONDS COMMAND...: until COMMAND succeeds
wait_until () {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.05
  done
}
