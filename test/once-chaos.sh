# Functions for calls that may not be repeated, while processes die. Source it
# after fleet.sh. The seed is RANDOM's.

# once_wave FIRST LAST GATEWAY...: sends the keys FIRST to LAST to each of the
# gateways at once; appends "KEY HTTP_STATUS OUTCOME" for each answer
once_wave () {
  local first=$1 last=$2 n gateway file=$fleet_dir/wave-$BASHPID
  shift 2
  for n in $(seq "$first" "$last"); do
    for gateway in "$@"; do
      printf 'next\nurl = "http://%s/v1/services/centrale/orders"\n' \
        "${address_of[$gateway]}"
      printf 'header = "Authorization: Bearer key-%d"\n' $((n % 2 + 1))
      printf 'header = "X-Kind: order"\nheader = "Idempotency-Key: once-%d"\n' \
        "$n"
      printf 'data = "van-%d"\noutput = "/dev/null"\nmax-time = 15\n' "$n"
      printf 'write-out = "once-%d %%{http_code} %%header{x-outcome}\\n"\n' \
        "$n"
    done
  done | sed 1d >"$file"
  curl -s --parallel --parallel-immediate --parallel-max 200 \
    -K "$file" >>"$fleet_dir/answers" 2>/dev/null
  rm -f "$file"
}

# once_send KEYS WAVE_SIZE PAUSE_S: all keys, each to both gateways
once_send () {
  local first last senders=()
  for ((first = 1; first <= $1; first += $2)); do
    last=$((first + $2 - 1))
    ((last <= $1)) || last=$1
    once_wave "$first" "$last" gateway-1 gateway-2 &
    senders+=($!)
    sleep "$3"
  done
  wait "${senders[@]}"
}

# once_restart NAME: kill -9, and a new process after a while
once_restart () {
  local role=${1%-*}
  kill -9 "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
  sleep 0.$((RANDOM % 8 + 1))
  daemon "$1" "$role" dc-1
  once_kills=$((once_kills + 1))
}

fault () { curl -sS -m 5 -d "$2" "http://${address_of[$1]}/control/faults" \
  >/dev/null; }

# once_chaos SENDER OUTAGE_S PAUSE_S SHARDS: while the process SENDER runs,
# kills gateways and shards at random moments; on the way the first shard is
# paused for PAUSE_S, replies of the KV service are lost after effect, and it
# is out for OUTAGE_S
once_chaos () {
  local sender=$1 step=0 name
  local names=(gateway-1 gateway-2)
  for name in $(seq "$4"); do names+=("shard-$name"); done
  once_kills=0 once_pauses=0 once_lost=0 once_outages=0
  while kill -0 "$sender" 2>/dev/null; do
    step=$((step + 1))
    fault kv "{\"drop_after_effect\":3}"
    once_lost=$((once_lost + 3))
    if [ $((step % 12)) -eq 3 ]; then
      kill -STOP "${pid_of[shard-1]}"
      sleep "$3"
      kill -CONT "${pid_of[shard-1]}"
      once_pauses=$((once_pauses + 1))
    elif [ $step -eq 5 ]; then
      fault kv '{"outage":1}'
      sleep "$2"
      fault kv '{"outage":0}'
      once_outages=$((once_outages + 1))
    else
      once_restart "${names[$((RANDOM % ${#names[@]}))]}"
    fi
    sleep $((RANDOM % 2)).$((RANDOM % 9))
  done
  fault kv '{"drop_after_effect":0}'
}

# once_counts SERVICE...: "KEY RUNS" for each key that any of them ran
once_counts () {
  local service
  for service in "$@"; do
    curl -s -m 5 "http://${address_of[$service]}/control/counts" \
      | grep -o '"once-[0-9]*":[0-9]*' | tr -d '"' | tr ':' ' '
  done | awk '{ runs[$1] += $2 } END { for (k in runs) print k, runs[k] }'
}

# once_verdict SERVICE...: prints the counts of answers and what is wrong;
# once_wrong is the number of keys that break a promise
once_verdict () {
  once_counts "$@" >"$fleet_dir/runs"
  awk '
    FNR == NR { runs[$1] = $2; next }
    { key[$1]; tries[$1]++; n++ }
    $3 == "" { answers["none"]++ }
    $3 != "" { answers[$3]++ }
    $3 == "refused_not_run" { refused[$1]++ }
    $3 == "complete" || $3 == "replayed" { whole[$1]++ }
    $3 == "complete" { complete[$1]++ }
    END {
      for (k in key) {
        keys++
        if (runs[k] > 0) ran++
        if (runs[k] > 1) { twice++; print "ran twice: " k }
        if (refused[k] == tries[k]) {
          all_refused++
          if (runs[k] > 0) { untrue++; print "refused but ran: " k }
        }
        if (whole[k] > 0) {
          acknowledged++
          if (runs[k] != 1) { lost++; print "acknowledged, runs " \
            runs[k] + 0 ": " k }
        }
        if (complete[k] > 1) { fresh++; print "complete twice: " k }
      }
      printf "keys %d tries %d ran %d acknowledged %d all_refused %d\n",
        keys, n, ran, acknowledged, all_refused
      for (a in answers) printf "answer %s %d\n", a, answers[a]
      printf "ran_twice %d refused_but_ran %d ", twice, untrue
      printf "acknowledged_not_run_once %d complete_twice %d\n", lost, fresh
    }' "$fleet_dir/runs" "$fleet_dir/answers" >"$fleet_dir/verdict"
  once_wrong=$(awk '/^ran_twice/ { print $2 + $4 + $6 + $8 }' \
    "$fleet_dir/verdict")
}
