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
  rm -f "$out"
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

# Settings that a script may change before it starts daemons:
# piece_tokens, policy, kv_settings, placement_settings, gateway_settings,
# shard_settings, store_settings, host_poll_ms.
piece_tokens=100
operator_key=fleet-operator-key
operator_hash=$(printf %s "$operator_key" | b2sum -l 256 | cut -d' ' -f1)

# daemon NAME ROLE DATA_CENTRE [MORE_SETTINGS]
daemon () {
  local name=$1 role_settings=
  if [ "$2" = gateway ]; then
    role_settings="\"policy\": \"${policy:-cost}\", ${placement_settings-}"
    gateway_extra="\"operator\": { \"key_hash\": \"$operator_hash\" },
      \"entries\": { \"lifetime_ms\": 1000 }, ${gateway_settings-}"
  else
    gateway_extra=${shard_settings-}
  fi
  cat >"$fleet_dir/$name.json" <<EOF
{
  // $name of a fleet on loopback
  "process": { "name": "$name", "role": "$2", "data_centre": "$3" },
  "listen": { "http": "${address_of[$name]}", "peer": "${peer_of[$name]}" },
  "seeds": [$seeds_json],
  "kv": { "address": ["${address_of[kv]}"], "timeout_ms": 1000,
          "lease_ttl_ms": 3000 ${kv_settings-} },
  "host_list": { "address": "${address_of[hosts]}", "poll_ms": ${host_poll_ms:-500} },
  "placement": { $role_settings "piece_tokens": $piece_tokens },
  $gateway_extra
  ${4-}
  "blocks": { "hash_key":
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f" },
  "stores": { ${store_settings-} }
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

# b2 TEXT: the hash under which a bearer key is declared
b2 () { printf %s "$1" | b2sum -l 256 | cut -d' ' -f1; }

sheet_rows=()
# row OBJECT COLUMN=VALUE...: adds a declaration to the sheet
row () {
  local object=$1 cell column line
  shift
  declare -A cells=()
  for cell in "$@"; do cells[${cell%%=*}]=${cell#*=}; done
  line=$object,,
  for column in $sheet_columns; do line+=",${cells[$column]-}"; done
  sheet_rows+=("$line")
}
sheet_columns="organisation name model version service weight requests_per_s \
in_flight priority deadline_ms timeout_ms idempotent retained key_hash \
fencing load_limit"

# sheet [BASE]: the sheet so far
sheet () {
  local header=object,action,was column
  for column in $sheet_columns; do header+=,$column; done
  printf '%s\nbase,%s\n' "$header" "${1:-0}"
  printf '%s\n' "${sheet_rows[@]}"
  printf 'end,%s\n' "${#sheet_rows[@]}"
}

# operator METHOD PATH GATEWAY [BODY_FILE]
operator () {
  curl -sS -m 10 -X "$1" -H "Authorization: Bearer $operator_key" \
    ${4:+--data-binary @"$4"} "http://${address_of[$3]}$2"
}

# The declarations of a small fleet: organisations org-1 and org-2 with the
# keys key-1 and key-2.
small_sheet () {
  local n
  row service service=centrale timeout_ms=5000 idempotent=no
  row version model=oracolo version=v1
  row version model=oracolo version=v2
  row model model=oracolo version=v1 service=oracolo
  for n in 1 2; do
    row organisation organisation=org-$n weight=1 requests_per_s=10000 \
      in_flight=1000
    row key organisation=org-$n name=main key_hash="$(b2 key-$n)"
    row kind organisation=org-$n name=briefing model=oracolo priority=5 \
      deadline_ms=60000 idempotent=yes retained=yes
    row kind organisation=org-$n name=check model=oracolo priority=0 \
      deadline_ms=10000 idempotent=yes retained=no
    row kind organisation=org-$n name=order service=centrale priority=2 \
      deadline_ms=10000 idempotent=no retained=no
    row kind organisation=org-$n name=status service=centrale priority=0 \
      deadline_ms=5000 idempotent=yes retained=no
  done
}
