#!/usr/bin/env bash
# The tables of docs/CAPACITY.md, worked out from slopes that are measured
# now: capacity.sh BUILD
build=${1:-build}
here=$(dirname "$0")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

"$build/bench-capacity" >"$work/slopes"
bash "$here/capacity-processes.sh" "$build" >>"$work/slopes"
"$build/bench-member" >"$work/member"
"$build/bench-config" >"$work/config"
"$build/bench-place" >"$work/place"
"$build/bench-once" >"$work/once"
bash "$here/bench-path.sh" "$build" >"$work/path" 2>&1

# value NAME PATTERN FILE: the first number after PATTERN
value () {
  echo "$1 $(grep -oE "$2 *[0-9.]+" "$work/$3" | tail -1 \
    | grep -oE '[0-9.]+$')"
}
{
  awk '$1 == 2200 && !seen++ { print "member_bytes", $2; print "member_bytes_max", $3
    print "member_messages", $4; print "member_core", $6
    print "member_kb", $7; print "config_last_s", $10 }' "$work/member"
  grep '^2400 ' "$work/config" >"$work/config2400"
  value config_mb 'in memory' config2400
  value adopt_ms 'adopt' config2400
  value delta_bytes 'ms,' config2400
  value config_core 'changes a day' config2400
  awk '$1 == 10000 { print "place_ns", $2 }' "$work/place"
  value lookup_ns 'pieces:' place
  echo "index_bytes $(grep -oE '[0-9]+ with a store' "$work/place" \
    | cut -d' ' -f1)"
  value grant_writes '1000 requests/s:' once
  value record_bytes '100000 records:' once
  value path_pieces_per_s 'paced pieces a second of gateway processor time:' \
    path
  value gateway_kb_500_streams 'under 500 streams: gateway' path
} >>"$work/slopes"

echo "Slopes:"
echo
column -c 100 "$work/slopes" | expand | sed 's/^/    /; s/ *$//'
awk -f "$here/capacity.awk" "$work/slopes"
