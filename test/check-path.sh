#!/usr/bin/env bash
# The promises to callers on real processes: check-path.sh BUILD [SEED]
# Prints "ok path/NAME" or "not ok path/NAME" for each.
BUILD=${1:-build}
seed=${2:-1}
RANDOM=$seed
. "$(dirname "$0")/fleet.sh"
. "$(dirname "$0")/once-chaos.sh"
failed=0
engines="e1 e2 e3 e4 e5 e6"
services="svc1 svc2"

# check NAME WANTED GOT [DETAIL_FILE]
check () {
  if [ "$2" = "$3" ]; then
    echo "ok path/$1"
    return
  fi
  echo "not ok path/$1"
  printf '  wanted: %s\n  got: %s\n' "$2" "$3"
  [ -z "${4-}" ] || sed 's/^/  /' "$4" | head -20
  failed=1
}

# ask GATEWAY KEY KIND PROMPT TOKENS NAME: one streamed request; the answer
# is in NAME.head and NAME.body
ask () {
  curl -sN -m 20 -D "$fleet_dir/$6.head" -o "$fleet_dir/$6.body" \
    -H "Authorization: Bearer $2" -H "X-Kind: $3" \
    -d "{\"model\":\"oracolo\",\"prompt\":\"$4\",\"max_tokens\":$5,
         \"stream\":true}" "http://${address_of[$1]}/v1/completions"
}
header () { sed -n "s/^$2: \([^\r]*\)\r*\$/\1/ip" "$fleet_dir/$1.head"; }
text () { sed -n 's/.*"text":"\([^"]*\)".*/\1/p' "$fleet_dir/$1.body" \
  | tr -d '\n'; }

# whole NAME TOKENS: "whole", or what is wrong with the answer
whole () {
  text "$1" | tr ' ' '\n' | awk -F- -v n="$2" \
    -v ends="$(grep -c '^data: \[DONE\]' "$fleet_dir/$1.body")" '
    NF == 2 { if (NR == 1) hash = $1
              if ($1 != hash || $2 != NR - 1) wrong++
              pieces++ }
    END { if (pieces == n && !wrong && ends == 1) print "whole"
          else printf "%d pieces, %d wrong, %d end marks\n", pieces, wrong,
            ends }'
}

stat_of () {
  curl -s -m 2 "http://${address_of[$1]}/control/stats" \
    | sed "s/.*\"$2\":\([0-9]*\).*/\1/"
}
prompt () { printf "$1 %.0s" $(seq "$2"); }
is_alive () { kill -0 "${pid_of[$1]}" 2>/dev/null; }
alive_count () {
  local name n=0
  for name in "$@"; do is_alive "$name" && n=$((n + 1)); done
  echo $n
}

# publish [LEAVING]: the host list, with one backend server leaving
publish () {
  local name
  hosts_json=
  for name in $engines; do
    listed "$name" dc-1 oracolo engine \
      "$([ "$name" = "${1-}" ] && echo leaving || echo live)"
  done
  for name in $services; do listed "$name" dc-1 centrale service; done
  for name in store-a store-b; do listed "$name" dc-1 "$name" store; done
  hosts_publish
}

# status_lookups COUNT: how many of them were not answered
status_lookups () {
  local n missed=0 code
  for n in $(seq "$1"); do
    code=$(curl -s -m 5 -o "$fleet_dir/status.body" -w '%{http_code}' \
      -H "Authorization: Bearer key-$((n % 2 + 1))" -H 'X-Kind: status' \
      "http://${address_of[gateway-$((n % 2 + 1))]}/v1/services/centrale/s")
    [ "$code" = 200 ] || missed=$((missed + 1))
  done
  echo $missed
}

mix () { # RATE MAX_TOKENS
  cat >"$fleet_dir/mix.json" <<END
{"kinds": [{"name": "check", "key": "key-1", "model": "oracolo", "rate": $1,
  "prompt_tokens": 100, "max_tokens": $2, "deadline_ms": 10000}]}
END
}
load () {
  "$BUILD/load" --gateway "http://${address_of[gateway-1]}" \
    --gateway "http://${address_of[gateway-2]}" --mix "$fleet_dir/mix.json" \
    --seed "$seed" "$@"
}
# number NAME FILE: a number of the load tool's report
number () {
  sed -n "s/^ *\"$1\": *\([0-9]*\),*\$/\1/p" "$2" | head -1 | grep . || echo 0
}

standin kv kv
standin hosts hosts
standin store-a store
standin store-b store
for e in $engines; do
  standin "$e" engine --name "$e" --model oracolo --version v1 \
    --piece-tokens $piece_tokens --prefill-rate 8000 --decode-ms 5
done
for s in $services; do standin "$s" service; done
publish
gateway_settings='"timeouts": { "first_byte_ms": 2000, "progress_ms": 1000,
  "stop_s": 20 }, "log": { "level": "info" },'
plan_daemons gateway-1 gateway-2 shard-1 shard-2 shard-3
for d in shard-1 shard-2 shard-3; do daemon $d shard dc-1; done
for d in gateway-1 gateway-2; do daemon $d gateway dc-1; done
small_sheet
sheet >"$fleet_dir/sheet.csv"
applied () {
  operator POST /v1/operator/sheet/apply gateway-1 "$fleet_dir/sheet.csv" \
    2>/dev/null | grep -q '"revision"'
}
wait_until 15 applied
check ready yes "$(wait_ready gateway-1 && wait_ready gateway-2 && echo yes)"
sleep 1

# (a) Organisations stay apart.
own=0 foreign=0
for n in 1 2 3 4; do
  briefing=$(prompt "zone $n briefing" 100)
  ask gateway-1 key-1 briefing "$briefing" 2 first
  sleep 0.3
  ask gateway-2 key-1 briefing "$briefing" 2 own
  own=$((own + $(header own x-cached-tokens)))
  ask "gateway-$((n % 2 + 1))" key-2 briefing "$briefing" 2 foreign
  foreign=$((foreign + $(header foreign x-cached-tokens) \
    + $(header foreign x-imported-tokens)))
done
check organisations-apart "reuse 0" \
  "$([ $own -gt 0 ] && echo reuse || echo none) $foreign"

# A service's answer that is cut inside its body, then given by another one.
fault svc1 '{"cut_body":4}'
for n in $(seq 8); do
  curl -s -m 5 -H 'Authorization: Bearer key-1' -H 'X-Kind: status' \
    "http://${address_of[gateway-1]}/v1/services/centrale/s" \
    | grep -qxE '\{"run":[0-9]+,"path":"[^"]*"\}' && echo whole
done >"$fleet_dir/cut-body"
check service-body-cut "8 whole, 4 cut" \
  "$(wc -l <"$fleet_dir/cut-body") whole, $(curl -s -m 2 \
    "http://${address_of[gateway-1]}/metrics" \
    | sed -n 's/^attempts{.*outcome="lost_unanswered"} *//p' \
    | awk '{ sum += $1 } END { print sum + 0 }') cut"
# The other one takes longer for its first byte than an answer may pause.
fault svc1 '{"cut_body":1}'
fault svc2 '{"slow_ms":1500}'
check slow-after-body-cut "3 answered" "$(for n in 1 2 3; do
  curl -s -m 5 -o "$fleet_dir/status.body" -w '%{http_code}\n' \
    -H 'Authorization: Bearer key-1' -H 'X-Kind: status' \
    "http://${address_of[gateway-1]}/v1/services/centrale/s"
done | grep -c 200) answered"
fault svc1 '{"cut_body":0}'
fault svc2 '{"slow_ms":0}'

# (b) A cut connection, pieces of another request.
for e in $engines; do fault "$e" '{"cut_after":5}'; done
ask gateway-1 key-1 check "cut midway" 40 cut
for e in $engines; do fault "$e" '{"cut_after":0,"crossed":8}'; done
# A resume that is answered by something else than a stream.
for e in $engines; do fault "$e" '{"crossed":0,"cut_after":5,"no_resume":9}'; done
ask gateway-1 key-1 check "not resumed" 40 not-resumed
for e in $engines; do fault "$e" '{"cut_after":0,"no_resume":0}'; done
check refused-resume "no end mark, gateway alive" "$(
  grep -q '^data: \[DONE\]' "$fleet_dir/not-resumed.body" \
    && echo -n "end mark, " || echo -n "no end mark, "
  is_alive gateway-1 && echo gateway alive || echo gateway ended)" \
  "$fleet_dir/not-resumed.body"
# A resume before the engine sent the head: its prefill takes 3 s, and a
# connection without a byte is given up after 2 s.
ask gateway-1 key-1 check "$(prompt "long way" 11000)" 5 before-head
check resume-before-head "whole, gateway alive" "$(whole before-head 5), $(
  is_alive gateway-1 && echo gateway alive || echo gateway ended)" \
  "$fleet_dir/before-head.body"
for e in $engines; do fault "$e" '{"crossed":8}'; done
background=()
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
  ask gateway-$((n % 2 + 1)) key-$((n % 2 + 1)) check "crossed $n" 60 \
    "crossed-$n" &
  background+=($!)
done
wait "${background[@]}"
for e in $engines; do fault "$e" '{"crossed":0}'; done
check stream-cut whole "$(whole cut 40)" "$fleet_dir/cut.body"
check stream-crossed "12 whole" "$(for n in $(seq 12); do
  whole "crossed-$n" 60
done | sort | uniq -c | sed 's/^ *//')"
check stream-hashes 12 "$(for n in $(seq 12); do
  text "crossed-$n" | cut -d- -f1
done | sort -u | wc -l)"

# (i) A silent connection, then a silent engine.
background=()
for n in 1 2 3 4 5 6; do
  ask gateway-1 key-1 check "silent $n" 300 "silent-$n" &
  background+=($!)
done
sleep 0.5
for e in $engines; do fault "$e" '{"silent":1}'; done
wait "${background[@]}"
check silent-connection "6 whole" "$(for n in 1 2 3 4 5 6; do
  whole silent-$n 300
done | sort | uniq -c | sed 's/^ *//')" "$fleet_dir/silent-1.body"
background=()
for n in $(seq 12); do
  ask gateway-1 key-1 check "stopped $n" 200 "stopped-$n" &
  background+=($!)
done
sleep 0.3
kill -STOP "${pid_of[e1]}"
stopped_at=$SECONDS
wait "${background[@]}"
took=$((SECONDS - stopped_at))
# A cut answer is true if it ends with an error, and no end mark.
check silent-engine-true "0 untrue" "$(for n in $(seq 12); do
  [ "$(whole "stopped-$n" 200)" = whole ] \
    || { grep -q '"code"' "$fleet_dir/stopped-$n.body" \
      && ! grep -q '^data: \[DONE\]' "$fleet_dir/stopped-$n.body"; } \
    || echo "$n"
done | wc -l) untrue"
check silent-engine-in-time yes "$([ $took -le 10 ] && echo yes || echo $took)"
for n in $(seq 10); do
  ask gateway-1 key-1 check "after $n" 5 "after-$n"
done
check silent-engine-next "10 whole" "$(for n in $(seq 10); do
  whole "after-$n" 5
done | sort | uniq -c | sed 's/^ *//')" "$fleet_dir/after-1.body"
kill -CONT "${pid_of[e1]}"
sleep 1

# (h) A leaving backend server gets no new work after 3 s.
others_started () {
  local name started sum=0
  for name in $engines; do
    [ "$name" = e2 ] && continue
    started=$(stat_of "$name" started)
    sum=$((sum + ${started:-0}))
  done
  echo $sum
}
mix 40 5
load --seconds 8 --retries 0 >"$fleet_dir/leaving.out" &
loader=$!
sleep 1
publish e2
sleep 3
at_3_s=$(stat_of e2 started)
others_at_3_s=$(others_started)
wait $loader
check leaving "none others" "$([ "$(stat_of e2 started)" = "$at_3_s" ] \
  && echo none || echo some) $([ "$(others_started)" -gt \
  "$others_at_3_s" ] && echo others)"
check leaving-cuts-none "$(number count "$fleet_dir/leaving.out")" \
  "$(number complete "$fleet_dir/leaving.out")" "$fleet_dir/leaving.out"
publish

# (g) A planned stop cuts nothing.
mix 40 40
load --seconds 14 --retries 0 --entries >"$fleet_dir/stop.out" &
loader=$!
sleep 1.5
codes=
for d in gateway-1 gateway-2; do
  kill -TERM "${pid_of[$d]}"
  wait "${pid_of[$d]}"
  codes+="$? "
  daemon $d gateway dc-1
  wait_ready $d
  sleep 1.5
done
wait $loader
check planned-stop-exit "0 0 " "$codes"
check planned-stop "$(number count "$fleet_dir/stop.out")" \
  "$(number complete "$fleet_dir/stop.out")" "$fleet_dir/stop.out"

# Nor a response whose caller reads it slowly.
for s in $services; do fault "$s" '{"padding":40000000}'; done
curl -s -m 20 --limit-rate 10M -o "$fleet_dir/slow.body" \
  -H 'Authorization: Bearer key-1' -H 'X-Kind: status' \
  "http://${address_of[gateway-1]}/v1/services/centrale/s" &
reader=$!
sleep 0.5
kill -TERM "${pid_of[gateway-1]}"
wait $reader
check planned-stop-slow-caller "0 whole" "$? $([ "$(wc -c \
  <"$fleet_dir/slow.body")" -gt 40000000 ] && echo whole)"
wait "${pid_of[gateway-1]}"
for s in $services; do fault "$s" '{"padding":0}'; done
daemon gateway-1 gateway dc-1
wait_ready gateway-1

# (j) A gateway that starts is not ready, and is not named to callers, before
# it knows its engines. The host list holds it up, so that no step needs luck.
is_ready () {
  curl -sf -m 1 "http://${address_of[$1]}/readyz" >/dev/null
}
names () { # GATEWAY OTHER: GATEWAY names OTHER to callers
  curl -s -m 2 "http://${address_of[$1]}/v1/entries" \
    | grep -q "${address_of[$2]}"
}
kill -TERM "${pid_of[gateway-1]}"
wait "${pid_of[gateway-1]}"
kill -STOP "${pid_of[hosts]}"
daemon gateway-1 gateway dc-1
check start-not-ready "not ready" \
  "$(wait_until 2 is_ready gateway-1 && echo ready || echo not ready)"
check start-not-named "not named" \
  "$(names gateway-2 gateway-1 && echo named || echo not named)"
kill -CONT "${pid_of[hosts]}"
wait_ready gateway-1
ask gateway-1 key-1 check "first of a start" 5 start
check start-first-request whole "$(whole start 5)" "$fleet_dir/start.body"
check start-named yes "$(wait_until 5 names gateway-2 gateway-1 && echo yes)"

# A gateway that knows no shard has no load reports and waits 3 s for them; a
# busy machine only makes that longer.
fleet_seeds=$seeds_json
plan_daemons gateway-3
seeds_json=
began_ms=$(date +%s%3N)
daemon gateway-3 gateway dc-1
seeds_json=$fleet_seeds
wait_ready gateway-3
took_ms=$(($(date +%s%3N) - began_ms))
check start-waits-for-reports yes \
  "$([ $took_ms -ge 3000 ] && echo yes || echo $took_ms)"
kill -9 "${pid_of[gateway-3]}"
wait "${pid_of[gateway-3]}" 2>/dev/null

# A drained engine gets no work from a gateway that starts. It reads the host
# list once, so that a later list cannot correct what its load reports did.
set_drain () { # ENGINE true|false
  echo "{\"backend_server\":\"$1\",\"drain\":$2}" >"$fleet_dir/drain.json"
  operator POST /v1/operator/drain gateway-2 "$fleet_dir/drain.json" \
    2>/dev/null | grep -q '"revision"'
}
for e in e1 e2 e3 e4 e5; do wait_until 5 set_drain $e true; done
kill -9 "${pid_of[gateway-1]}"
wait "${pid_of[gateway-1]}" 2>/dev/null
host_poll_ms=60000
daemon gateway-1 gateway dc-1
host_poll_ms=
wait_ready gateway-1
revision () {
  curl -s -m 2 "http://${address_of[$1]}/metrics" | grep '^config_revision '
}
same_revision () { [ "$(revision gateway-1)" = "$(revision gateway-2)" ]; }
wait_until 5 same_revision
started_before=$(stat_of e6 started)
for n in 1 2 3 4; do ask gateway-1 key-1 check "drained $n" 5 "drained-$n"; done
check start-drained "4 whole 4" "$(for n in 1 2 3 4; do
  whole "drained-$n" 5
done | sort | uniq -c | sed 's/^ *//') $(($(stat_of e6 started) \
  - started_before))"
for e in e1 e2 e3 e4 e5; do wait_until 5 set_drain $e false; done
kill -9 "${pid_of[gateway-1]}"
wait "${pid_of[gateway-1]}" 2>/dev/null
daemon gateway-1 gateway dc-1
wait_ready gateway-1

# (d) A killed gateway cuts only its own streams.
background=()
for n in 1 2 3 4 5; do
  for g in 1 2; do
    ask gateway-$g key-1 check "killed $n" 400 "killed-$g-$n" &
    background+=($!)
  done
done
sleep 0.7
kill -9 "${pid_of[gateway-1]}"
wait "${pid_of[gateway-1]}" 2>/dev/null
wait "${background[@]}"
check gateway-killed-cut "0 end marks" \
  "$(cat "$fleet_dir"/killed-1-?.body | grep -c DONE) end marks"
check gateway-killed-others "5 whole" "$(for n in 1 2 3 4 5; do
  whole killed-2-$n 400
done | sort | uniq -c | sed 's/^ *//')"
for n in 1 2 3 4 5; do
  ask gateway-2 key-1 check "killed $n" 400 "again-$n" &
  background+=($!)
done
wait "${background[@]}"
check gateway-killed-again "5 whole" "$(for n in 1 2 3 4 5; do
  whole again-$n 400
done | sort | uniq -c | sed 's/^ *//')"
daemon gateway-1 gateway dc-1
wait_ready gateway-1

# (c) A request that crashes its engine.
before=$(alive_count $engines)
for n in 1 2 3 4; do
  background=()
  for g in 1 2; do
    ask gateway-$g key-1 check "CRASH_ENGINE please" 5 "crash-$g" &
    background+=($!)
  done
  ask gateway-$((n % 2 + 1)) key-1 check "beside a crash $n" 5 "beside-$n"
  wait "${background[@]}"
done
after=$(alive_count $engines)
check crash-contained yes "$([ $after -lt "$before" ] \
  && [ $after -ge $((before - 2)) ] && echo yes || echo "$before $after")"
# What ran on the engine that died is told so, and is whole when sent again.
check crash-others "4 whole" "$(for n in 1 2 3 4; do
  if [ "$(whole beside-$n 5)" != whole ] \
    && grep -q '"code":"backend_lost"' "$fleet_dir/beside-$n.body"; then
    ask gateway-1 key-1 check "beside a crash $n" 5 "beside-$n"
  fi
  whole beside-$n 5
done | sort | uniq -c | sed 's/^ *//')" <(grep -h '"code"' \
  "$fleet_dir"/beside-?.body)

# (e) At most once, while processes die.
once_send 1000 25 0.5 &
sender=$!
once_chaos $sender 4 5 3
wait $sender
for d in gateway-1 gateway-2; do wait_ready $d; done
sleep 2
once_wave 1 1000 gateway-1
once_verdict $services
check once "1000 0" \
  "$(awk '/^keys/ { print $2 }' "$fleet_dir/verdict") $once_wrong" \
  "$fleet_dir/verdict"
check once-faults yes "$([ $once_kills -ge 3 ] && [ $once_pauses -ge 1 ] \
  && [ $once_outages -ge 1 ] && echo yes \
  || echo "$once_kills $once_pauses $once_outages")"
sed 's/^/  /' "$fleet_dir/verdict"

# (f) Status lookups always answer.
fault kv '{"outage":1}'
check status-kv-out 0 "$(status_lookups 20)"
fault kv '{"outage":0}'
for s in store-a store-b; do kill -9 "${pid_of[$s]}"; done
check status-stores-dead 0 "$(status_lookups 20)"
mix 1000 60
load --seconds 4 --drain 2 --retries 0 >"$fleet_dir/over.out" &
loader=$!
sleep 1
check status-overload 0 "$(status_lookups 40)"
wait $loader
check status-overload-real yes "$([ "$(number complete \
  "$fleet_dir/over.out")" -lt "$(number count "$fleet_dir/over.out")" ] \
  && echo yes)" "$fleet_dir/over.out"
exit $failed
