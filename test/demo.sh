#!/usr/bin/env bash
# The whole path on loopback: demo.sh BUILD
# Starts stand-ins, two gateways and two shards, applies a sheet, sends
# streamed completions and calls that may not be repeated, kills one process
# of each role on the way, and prints what each caller got. Ends with 1 if
# anything is not as it should be.
BUILD=${1:-build}
. "$(dirname "$0")/fleet.sh"

wrong=0
computed_sum=0
prompt_sum=0

# expect WHAT WANTED GOT
expect () {
  [ "$2" = "$3" ] && return 0
  echo "  NOT AS IT SHOULD BE: $1: wanted '$2', got '$3'"
  wrong=1
}

header () { sed -n "s/^$1: \([^\r]*\)\r*\$/\1/ip" "$fleet_dir/head"; }

# completion GATEWAY KEY KIND PROMPT TOKENS: one streamed request
completion () {
  local time status text marks
  time=$(curl -sN -m 20 -D "$fleet_dir/head" -o "$fleet_dir/body" \
    -w '%{time_starttransfer}' -H "Authorization: Bearer $2" -H "X-Kind: $3" \
    -d "{\"model\":\"oracolo\",\"prompt\":\"$4\",\"max_tokens\":$5,
         \"stream\":true}" "http://${address_of[$1]}/v1/completions")
  status=$(awk 'NR == 1 { print $2 }' "$fleet_dir/head")
  text=$(grep -c '"text"' "$fleet_dir/body")
  marks=$(grep -c '^data: \[DONE\]' "$fleet_dir/body")
  computed=$(header x-computed-tokens)
  cached=$(header x-cached-tokens)
  computed_sum=$((computed_sum + ${computed:-0}))
  prompt_sum=$((prompt_sum + ${computed:-0} + ${cached:-0}))
  printf '  %s %s %-9s status %s, %s pieces, first token %.0f ms, ' \
    "$1" "$2" "$3" "$status" "$text" "$(awk "BEGIN { print $time * 1000 }")"
  printf 'cached %s, computed %s tokens\n' "${cached:--}" "${computed:--}"
  expect "status" 200 "$status"
  expect "pieces" "$5" "$text"
  expect "end mark" 1 "$marks"
}

# order GATEWAY KEY IDEMPOTENCY_KEY BODY WANTED_OUTCOME
order () {
  local outcome
  curl -s -m 15 -D "$fleet_dir/head" -o "$fleet_dir/body" \
    -H "Authorization: Bearer $2" -H 'X-Kind: order' \
    -H "Idempotency-Key: $3" -d "$4" \
    "http://${address_of[$1]}/v1/services/centrale/orders"
  outcome=$(header x-outcome)
  echo "  $1 $2 order $3: $outcome $(head -c 70 "$fleet_dir/body")"
  expect "outcome of order $3" "$5" "$outcome"
}

dies () {
  kill -9 "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
}

prompt () { printf "$1 %.0s" $(seq "$2"); }

standin kv kv
standin hosts hosts
standin store-a store
standin store-b store
for e in e1 e2 e3; do
  standin $e engine --name $e --model oracolo --version v1 \
    --piece-tokens $piece_tokens --prefill-rate 4000 --decode-ms 5
  listed $e dc-1 oracolo engine
done
for s in svc1 svc2; do
  standin $s service
  listed $s dc-1 centrale service
done
listed store-a dc-1 store-a store
listed store-b dc-1 store-b store
hosts_publish
plan_daemons gateway-1 gateway-2 shard-1 shard-2
for d in shard-1 shard-2; do daemon $d shard dc-1; done
for d in gateway-1 gateway-2; do daemon $d gateway dc-1; done

echo "Apply the sheet"
small_sheet
sheet >"$fleet_dir/sheet.csv"
for _ in $(seq 100); do
  operator POST /v1/operator/sheet/apply gateway-1 "$fleet_dir/sheet.csv" \
    >"$fleet_dir/applied" 2>/dev/null && grep -q '"revision"' \
    "$fleet_dir/applied" && break
  sleep 0.1
done
echo "  $(grep -o '"action":"add"' "$fleet_dir/applied" | wc -l) rows added"
wait_ready gateway-1 && wait_ready gateway-2 || wrong=1
sleep 1

long=$(prompt 'landing zone briefing' 400)
quick=$(prompt 'airport approach check' 20)
echo "A briefing, a check, the briefing again"
completion gateway-1 key-1 briefing "$long" 20
completion gateway-2 key-2 check "$quick" 5
sleep 1
completion gateway-2 key-1 briefing "$long" 20
expect "reuse of the briefing" yes "$([ "$cached" -gt 0 ] && echo yes)"
echo "The same text from another organisation shares nothing"
completion gateway-1 key-2 briefing "$long" 20
expect "cached tokens across organisations" 0 "$cached"

echo "The engines lose their memory; what the stores keep is imported"
for e in e1 e2 e3; do
  dies $e
  standin $e engine --name $e --model oracolo --version v1 \
    --piece-tokens $piece_tokens --prefill-rate 4000 --decode-ms 5
done
hosts_json=
for e in e1 e2 e3; do listed $e dc-1 oracolo engine; done
for s in svc1 svc2; do listed $s dc-1 centrale service; done
for s in store-a store-b; do listed $s dc-1 $s store; done
hosts_publish
sleep 2
completion gateway-1 key-1 briefing "$long" 20
imported=$(header x-imported-tokens)
echo "  imported $imported tokens"
expect "import of the briefing" yes "$([ "$imported" -gt 0 ] && echo yes)"

links=$(for d in gateway-1 gateway-2 shard-1 shard-2; do
  curl -s "http://${address_of[$d]}/metrics"
done | awk '/^(import|export)_bytes/ { split ($1, name, "{")
  sum[name[1]] += $2 }
  END { for (n in sum) printf "%s %d  ", n, sum[n] }')

echo "An order, twice, at two gateways"
order gateway-1 key-1 order-1 van-7 complete
order gateway-2 key-1 order-1 van-7 replayed

echo "A shard, an engine, a service and a gateway die"
dies shard-1
completion gateway-1 key-1 briefing "$long more" 10
dies e1
for i in 1 2 3; do completion gateway-2 key-2 check "$quick $i" 5; done
dies svc1
order gateway-1 key-1 order-2 van-8 complete
dies gateway-1
order gateway-2 key-1 order-2 van-8 replayed
order gateway-2 key-1 order-3 van-9 complete
sleep 2
entries=$(curl -s "http://${address_of[gateway-2]}/v1/entries" \
  | grep -o '"address"' | wc -l)
expect "gateways in the address answer" 1 "$entries"

runs=$(curl -s "http://${address_of[svc2]}/control/counts")
echo "Runs counted by the surviving service: $runs"
grep -Eq '"order-[0-9]":([2-9]|1[0-9])' <<<"$runs" && {
  echo "  NOT AS IT SHOULD BE: an order ran twice"
  wrong=1
}
echo "Share recomputed: $computed_sum of $prompt_sum tokens"
echo "Link use before the deaths, in bytes: ${links:-none}"
[ $wrong -eq 0 ] && echo "All as it should be" || echo "Something is wrong"
exit $wrong
