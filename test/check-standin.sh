#!/usr/bin/env bash
# Checks of the stand-ins over real sockets: check-standin.sh BUILD
# Prints "ok standin/NAME" or "not ok standin/NAME" for each check.
build=${1:-build}
dir=$(mktemp -d)
pids=()
failed=0

stop_all () {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap stop_all EXIT

# start VARIABLE ROLE OPTIONS...: sets VARIABLE to the base URL
start () {
  local variable=$1 out="$dir/$1"
  shift
  rm -f "$out" # left by an earlier program of this name
  "$build/standin" "$@" >"$out" 2>"$out.err" &
  pids+=($!)
  for _ in $(seq 1000); do
    [ -s "$out" ] && break
    sleep 0.01
  done
  printf -v "$variable" 'http://127.0.0.1:%s' "$(awk '{ print $2 }' "$out")"
  printf -v "${variable}_pid" '%s' "${pids[-1]}"
}

post () { curl -sS -m 5 -d "$2" "$1${3-}" 2>"$dir/curl.err"; }
get () { curl -sS -m 5 "$1" 2>"$dir/curl.err"; }
code () { curl -s -m 5 -o "$dir/body" -w '%{http_code}' "$@"; }
faults () { post "$1/control/faults" "$2" >/dev/null; }

# check NAME WANTED GOT
check () {
  if [ "$2" = "$3" ]; then
    echo "ok standin/$1"
  else
    echo "not ok standin/$1"
    printf '  wanted: %s\n  got: %s\n' "$2" "$3"
    failed=1
  fi
}

# until_prints PATTERN COMMAND...: waits until COMMAND prints PATTERN, 10 s at most
until_prints () {
  local pattern=$1
  shift
  for _ in $(seq 200); do
    "$@" 2>/dev/null | grep -q "$pattern" && return 0
    sleep 0.05
  done
  return 1
}

# holds NAME PATTERN TEXT: TEXT contains PATTERN
holds () {
  case $3 in
  *"$2"*) check "$1" yes yes ;;
  *) check "$1" "...$2..." "$3" ;;
  esac
}

ask () { # MODEL PROMPT TOKENS ID MORE
  printf '{"model":"%s","prompt":"%s","max_tokens":%s,"stream":true,' \
    "$1" "$2" "$3"
  printf '"trefoilspar":{"request":"%s"%s}}' "$4" "${5-}"
}
sequences () { sed -n "s/^id: $1\///p" | tr '\n' ' '; }
stat_of () { get "$1/control/stats" | sed "s/.*\"$2\":\([0-9]*\).*/\1/"; }

# Key-value service
start kv kv
txn=/v1/kv/txn
write_a='{"compares":[{"key":"a","revision":0}],
  "writes":[{"key":"a","value":"1"}]}'
check kv-compare-and-swap "200 409" \
  "$(code "$kv$txn" -d "$write_a") $(code "$kv$txn" -d "$write_a")"
check kv-get '{"revision":1,"items":[{"key":"a","value":"1","revision":1}]}' \
  "$(post "$kv/v1/kv/get" '{"key":"a"}')"
lease=$(post "$kv/v1/kv/lease/grant" '{"ttl_ms":500}' \
  | sed 's/.*"lease":\([0-9]*\).*/\1/')
post "$kv$txn" "{\"writes\":[{\"key\":\"l\",\"value\":\"x\",
  \"lease\":$lease}]}" >/dev/null
before=$(code "$kv/v1/kv/lease/keepalive" -d "{\"lease\":$lease}")
sleep 0.8
check kv-lease-lapses '200 404 "items":[]' \
  "$before $(code "$kv/v1/kv/lease/keepalive" -d "{\"lease\":$lease}") $(
    post "$kv/v1/kv/get" '{"key":"l"}' | grep -o '"items":.*]')"
post "$kv/v1/kv/watch" '{"prefix":"w/","after":0,"wait_ms":3000}' \
  >"$dir/watch" &
watcher=$!
sleep 0.1
post "$kv$txn" '{"writes":[{"key":"w/1","value":"new"}]}' >/dev/null
wait $watcher
holds kv-watch '"key":"w/1","value":"new"' "$(cat "$dir/watch")"
check kv-watch-ends '"items":[]' "$(post "$kv/v1/kv/watch" \
  '{"prefix":"w/","after":99,"wait_ms":20}' | grep -o '"items":.*]')"
head -c 1048577 /dev/zero | tr '\0' x >"$dir/large"
printf '{"writes":[{"key":"big","value":"%s"}]}' "$(cat "$dir/large")" \
  >"$dir/large.json"
check kv-value-limit 413 "$(code "$kv$txn" -d "@$dir/large.json")"
faults "$kv" '{"drop_after_effect":1}'
post "$kv$txn" '{"writes":[{"key":"d1","value":"1"}]}' >/dev/null
lost=$?
holds kv-drop-after-effect "52 \"key\":\"d1\"" \
  "$lost $(post "$kv/v1/kv/get" '{"key":"d1"}' | grep -o '"key":"d1"')"
faults "$kv" '{"drop_before_effect":1}'
post "$kv$txn" '{"writes":[{"key":"d2","value":"1"}]}' >/dev/null
lost=$?
check kv-drop-before-effect '52 "items":[]' \
  "$lost $(post "$kv/v1/kv/get" '{"key":"d2"}' | grep -o '"items":.*]')"
faults "$kv" '{"outage":1}'
check kv-outage 503 "$(code "$kv/v1/kv/get" -d '{"key":"a"}')"
faults "$kv" '{"outage":0,"refuse":1}'
post "$kv/v1/kv/get" '{"key":"a"}' >/dev/null
check kv-refuse 52 $?
check unknown-fault 400 "$(code "$kv/control/faults" -d '{"nothing":1}')"
start limited kv --rate 3
limited+=/v1/kv/get
check kv-rate "200 200 200 429 " "$(curl -s -o "$dir/body" \
  -w '%{http_code} ' -d '{"key":"a"}' "$limited" -o "$dir/body" "$limited" \
  -o "$dir/body" "$limited" -o "$dir/body" "$limited")"

# Engine
start weights weights --load-ms 1000 --limit 1
start engine engine --model M --version 1 --decode-ms 1 --cache-blocks 2 \
  --piece-tokens 2 --slots 1 --check-fencing --weights "$weights"
post "$engine/v1/completions" "$(ask M hello 3 r1)" >"$dir/r1"
check engine-sequence "0 1 2 3 " "$(sequences r1 <"$dir/r1")"
check engine-text '5c62dcfd-0 5c62dcfd-1 5c62dcfd-2 ' \
  "$(sed -n 's/.*"text":"\(.*\)"}\]}/\1/p' "$dir/r1" | tr -d '\n')"
check engine-resume "2 3 " "$(post "$engine/v1/resume" \
  '{"request":"r1","from":2}' | sequences r1)"
check engine-resume-unknown 404 \
  "$(code "$engine/v1/resume" -d '{"request":"none","from":0}')"
faults "$engine" '{"cut_after":2}'
post "$engine/v1/completions" "$(ask M hello 5 r2)" >"$dir/r2"
cut=$?
faults "$engine" '{"cut_after":0,"crossed":1}'
check engine-cut "18 0 1 " "$cut $(sequences r2 <"$dir/r2")"
post "$engine/v1/completions" "$(ask M hello 2 r3)" >"$dir/r3"
check engine-crossed "1 0 1 2 " "$(grep '^id: ' "$dir/r3" \
  | grep -vc 'id: r3/') $(sequences r3 <"$dir/r3")"
check engine-version 409 \
  "$(code "$engine/v1/completions" -d "$(ask other hello 2 r4)")"
post "$engine/v1/completions" "$(ask M 8bytes..8bytes.. 2 c1 \
  ',"blocks":["b1","b2"]')" >/dev/null
post "$engine/v1/completions" "$(ask M 8bytes.. 2 c2 ',"blocks":["b3"]')" \
  >/dev/null
holds engine-evicts '"kind":"evicted","block":"b1"' \
  "$(get "$engine/v1/cache/events?after=0")"
faults "$engine" '{"event_gap":1}'
post "$engine/v1/completions" "$(ask M 8bytes.. 2 c3 ',"blocks":["b4"]')" \
  >/dev/null
holds engine-event-gap '{"first":6,' \
  "$(get "$engine/v1/cache/events?after=4")"
curl -s -D "$dir/head" -o /dev/null "$engine/v1/completions" \
  -d "$(ask M 8bytes..tail 2 c4 ',"blocks":["b4"]')"
check engine-cached "2 1" "$(tr -d '\r' <"$dir/head" | awk -F': ' \
  '/^x-cached/ { c = $2 } /^x-computed/ { print c, $2 }')"

post "$engine/v1/completions" "$(ask M hello 100000 long)" >"$dir/long" &
jobs=($!)
until_prints '"running":1' get "$engine/v1/load"
for n in 1:low 5:slow 0:urgent; do
  post "$engine/v1/completions" "$(ask M hello 40 "p${n#*:}" \
    ",\"priority\":${n%:*}")" | sequences "p${n#*:}" >"$dir/${n#*:}" &
  jobs+=($!)
done
until_prints '"queued":3' get "$engine/v1/load"
holds engine-load '"running":1,"queued":3' "$(get "$engine/v1/load")"
post "$engine/v1/cancel" '{"request":"pslow"}' >/dev/null
post "$engine/v1/cancel" '{"request":"long"}' >/dev/null
wait "${jobs[@]}"
check engine-cancel "1 0" "$(grep -c '^id: long/0$' "$dir/long") $(grep -c \
  DONE "$dir/long")"
if [ "$dir/urgent" -ot "$dir/low" ]; then order=urgent; else order=low; fi
check engine-priority "urgent 40" \
  "$order $(awk '{ print $NF }' "$dir/urgent")"
check engine-cancel-queued 2 "$(stat_of "$engine" cancelled)"
order='{"order":"o1","fencing":7,"kind":"load","model":"M","version":"2"}'
accepted=$(code "$engine/v1/orders" -d "$order")
old=$(code "$engine/v1/orders" -d "${order/7/6}")
holds engine-fencing '202 409 {"fencing":7}' "$accepted $old $(cat "$dir/body")"
not_yet=$(get "$engine/v1/load" | grep -c '"version":"2"')
until_prints '"version":"2"' get "$engine/v1/load"
check engine-weights "0 0" "$not_yet $?"
faults "$engine" '{"full":1}'
curl -s -D "$dir/head" -o /dev/null "$engine/v1/completions" \
  -d "$(ask M hello 2 r5)"
check engine-full "1 1" "$(grep -c ' 503 ' "$dir/head") $(grep -ci \
  '^x-not-run: 1' "$dir/head")"

# Silence: the stream open at that moment stops, a new one works.
start quiet engine --model M --decode-ms 5
curl -s -N -m 2 "$quiet/v1/completions" -d "$(ask M hello 300 s1)" \
  >"$dir/s1" &
open=$!
until_prints s1/2 cat "$dir/s1"
faults "$quiet" '{"silent":1}'
check engine-silent-new 1 "$(post "$quiet/v1/completions" \
  "$(ask M hello 2 s2)" | grep -c DONE)"
wait $open
check engine-silent-open "28 0" "$? $(grep -c DONE "$dir/s1")"
post "$quiet/v1/completions" "$(ask M CRASH_ENGINE 2 crash)" >/dev/null
wait "$quiet_pid" 2>/dev/null
check engine-crash 134 $?

# Store host and transfers
start store store --memory-bytes 100 --link-bytes-per-s 200
reserve () { post "$store/v1/slots" \
  "{\"block\":\"$1\",\"length\":$2,\"tier\":\"memory\"}"; }
check store-reserve '{"slot":1,"generation":1}' "$(reserve b4 32)"
check store-full 507 "$(code "$store/v1/slots" -d \
  '{"block":"x","length":69,"tier":"memory"}')"
check store-unsealed 404 "$(code "$store/v1/slots/1/1")"
export_to () { post "$engine/v1/kv/export" \
  "{\"block\":\"b4\",\"url\":\"$store/v1/slots/$1\"}"; }
sum=$(export_to 1/1 | sed 's/.*"checksum":"\(.*\)"}/\1/')
start=$(date +%s%N)
curl -s -D "$dir/head" -o "$dir/b4" "$store/v1/slots/1/1"
took=$((($(date +%s%N) - start) / 1000000))
check store-read "32 $sum" "$(wc -c <"$dir/b4") $(tr -d '\r' <"$dir/head" \
  | sed -n 's/^x-checksum: //p')"
check store-link yes "$([ $took -ge 150 ] && [ $took -le 2000 ] && echo yes)"
imports () { printf ',"blocks":["b4"],"imports":[{"block":"b4",'
  printf '"url":"%s/v1/slots/1/1","generation":1,"length":32,' "$store"
  printf '"checksum":"%s"}]' "$1"; }
start reader engine --model M --decode-ms 0 --prefill-rate 0 --piece-tokens 2
post "$reader/v1/completions" "$(ask M 8bytes.. 2 i0 "$(imports bad)")" \
  >/dev/null
check engine-import-mismatch 0 "$(stat_of "$reader" imported_tokens)"
start reader engine --model M --decode-ms 0 --prefill-rate 0 --piece-tokens 2
faults "$store" '{"corrupt":1}'
post "$reader/v1/completions" "$(ask M 8bytes.. 2 i1 "$(imports "$sum")")" \
  >/dev/null
check store-corrupt 0 "$(stat_of "$reader" imported_tokens)"
start reader engine --model M --decode-ms 0 --prefill-rate 0 --piece-tokens 2
post "$reader/v1/completions" "$(ask M 8bytes.. 2 i2 "$(imports "$sum")")" \
  >/dev/null
check engine-import "2 0" "$(stat_of "$reader" imported_tokens) $(stat_of \
  "$reader" wrong_bytes)"
curl -s -X DELETE "$store/v1/slots/1/1" >/dev/null
check store-generation '{"slot":1,"generation":2} 404' \
  "$(reserve b5 32) $(code "$store/v1/slots/1/1")"
check store-stale-write 409 \
  "$(code -X PUT --data-binary "@$dir/b4" "$store/v1/slots/1/1")"
faults "$store" '{"partial_write":1}'
code -X PUT --data-binary "@$dir/b4" "$store/v1/slots/1/2" >/dev/null
holds store-partial-write '"sealed":false' "$(get "$store/v1/blocks?after=0")"

# Weight store, host list, plain service
start slow weights --load-ms 300 --limit 1
timed () { curl -s -o /dev/null -w '%{time_total}\n' "$1"; }
timed "$slow/v1/weights/M/1" >"$dir/load1" &
first=$!
until_prints '"active":1' get "$slow/control/stats"
timed "$slow/v1/weights/M/2" >"$dir/load2"
wait $first
check weights-limit yes "$(cat "$dir/load1" "$dir/load2" | awk \
  '{ t[NR] = $1 } END { if (t[1] < 0.59 && t[2] > 0.59) print "yes"
     else print t[1], t[2] }')"
start hosts hosts --lag-ms 500
post "$hosts/control/hosts" '{"hosts":[{"name":"a"}]}' >/dev/null
early=$(get "$hosts/v1/hosts")
until_prints '"a"' get "$hosts/v1/hosts"
check hosts-lag '{"hosts":[]} {"hosts":[{"name":"a"}]}' \
  "$early $(get "$hosts/v1/hosts")"
start service service
faults "$service" '{"drop_after_effect":1}'
order () { curl -s -o /dev/null -H 'Idempotency-Key: k' "$service/orders" \
  "$@"; echo $?; }
check service-counts '52 0 {"keys":{"k":2},"total":2}' \
  "$(order) $(order) $(get "$service/control/counts")"
order -H 'X-Crash: 1' >/dev/null
wait "$service_pid" 2>/dev/null
check service-crash 134 $?
exit $failed
