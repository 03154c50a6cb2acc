#!/usr/bin/env bash
# Checks that the load tool sees what an engine does wrong: check-load.sh BUILD
build=${1:-build}
dir=$(mktemp -d)
"$build/standin" engine --model M --decode-ms 1 --prefill-rate 0 \
  --slots 100 --queue 1000 >"$dir/engine" &
engine=$!
trap 'kill $engine 2>/dev/null; wait $engine 2>/dev/null; rm -rf "$dir"' EXIT
for _ in $(seq 1000); do
  [ -s "$dir/engine" ] && break
  sleep 0.01
done
url=http://127.0.0.1:$(awk '{ print $2 }' "$dir/engine")
failed=0

# mix SETTINGS: one kind, 100 requests a second, 10 tokens each
mix () {
  echo "{\"kinds\":[{\"name\":\"k\",\"model\":\"M\",\"rate\":100,
    \"max_tokens\":10,\"prompt_tokens\":50 $1}]}" >"$dir/mix"
}

# load: sets got[] to the numbers of the report by name
declare -A got
load () {
  local name number
  got=()
  while read -r name number; do got[$name]=$number; done < <(
    timeout 60 "$build/load" --gateway "$url" --mix "$dir/mix" --seconds 0.5 \
      "$@" | sed -n 's/^ *"\([a-z_]*\)": *\([0-9]*\),*$/\1 \2/p')
}

fault () { curl -s "$url/control/faults" -d "$1" >/dev/null; }

check () {
  if [ "$2" = "$3" ]; then
    echo "ok load/$1"
  else
    echo "not ok load/$1"
    printf '  wanted: %s\n  got: %s\n' "$2" "$3"
    failed=1
  fi
}

mix ''
load --seed 1
check complete yes \
  "$([ "${got[count]}" -gt 20 ] && [ "${got[complete]}" = "${got[count]}" ] \
    && [ "${got[pieces]}" = $((10 * got[count])) ] && echo yes)"
count=${got[count]}
load --seed 1
check same-seed "$count" "${got[count]}"
fault '{"doubled":3,"crossed":2}'
load
check wrong-pieces "3 2" "${got[doubled]} ${got[wrong_text]}"
fault '{"cut_after":4}'
load --retries 1
check broken "$((2 * got[count])) ${got[count]}" \
  "${got[no_end]} ${got[broken]}"
fault '{"cut_after":0,"late":400}'
mix ',"deadline_ms":100'
load --grace-ms 0
check late "${got[count]}" "${got[late]}"
fault '{"late":0,"full":1}'
mix ',"return_ms":100,"returns":2'
load --retries 0
check refused "${got[count]} ${got[count]}" "${got[error]} ${got[full]}"
fault '{"full":0}'
mix ',"stream":false,"idempotent":false'
load
check not-streamed "${got[count]}" "${got[complete]}"
kill $engine
wait $engine 2>/dev/null
load --retries 0
check unreachable "${got[count]}" "${got[unreachable]}"
exit $failed
