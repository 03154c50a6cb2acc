#!/usr/bin/env bash
# Soaks with many seeds, also those that ever failed:
# soak.sh BUILD [FIRST [COUNT [SECONDS [JOBS]]]]. Every fourth one has planned
# work only, every fourth one has drills of the store, and every fourth fresh
# one has engines that pause. Output and logs of the processes stay in
# BUILD/soak-logs.
build=${1:-build}
first=${2:-$RANDOM}
count=${3:-50}
seconds=${4:-20}
jobs=${5:-4}
here=$(dirname "$0")
export build seconds
one () {
  folder=$build/soak-logs/$1
  mkdir -p "$folder"
  options=()
  [ $(($1 % 4)) -ne 0 ] || options=(--planned)
  [ $(($1 % 4)) -ne 1 ] || options=(--drills)
  [ "$2 $(($1 % 4))" != "fresh 2" ] || options=(--pauses)
  "$build/soak" --program "$build/trefoilspard" --seconds "$seconds" \
    --folder "$folder" --seed "$1" "${options[@]}" >"$folder/output.txt" 2>&1
  grep -E '^(not )?ok ' "$folder/output.txt" || echo "not ok soak/seed-$1"
  grep 'BROKEN' "$folder/output.txt"
  return 0
}
export -f one
{
  sed -n 's/^\([0-9][0-9]*\).*/\1 listed/p' "$here/soak-seeds.txt"
  seq -f '%.0f fresh' "$first" $((first + count - 1))
} | xargs -P "$jobs" -I{} bash -c 'one {}' | tee "$build/soak-results.txt"
! grep -q '^not ok' "$build/soak-results.txt"
