#!/usr/bin/env bash
# The cases of the review, each with and without its disruption:
# check-review.sh BUILD
build=${1:-build}
sh review/build.sh "$build" || {
  echo "not ok review/build"
  exit 1
}
failed=0
for trouble in 1 0; do
  running=()
  for number in 1 2 3 4 5; do
    folder=$build/review/$number-$trouble
    mkdir -p "$folder"
    TROUBLE=$trouble "$build/review/case-$number" "$folder" \
      >"$folder/output.txt" 2>&1 &
    running+=($!)
  done
  for number in 1 2 3 4 5; do
    if wait "${running[$((number - 1))]}"; then
      echo "ok review/case-$number-trouble-$trouble"
    else
      echo "not ok review/case-$number-trouble-$trouble"
      tail -3 "$build/review/$number-$trouble/output.txt" | sed 's/^/  /'
      failed=1
    fi
  done
done
exit $failed
