#!/usr/bin/env bash
# Run each fuzz target on its committed corpus: check-fuzz.sh BUILD
build=${1:-build}
failed=0
for target in "$(dirname "$0")"/fuzz-*.c; do
  program=$(basename "$target" .c)
  name=${program#fuzz-}
  if output=$("$build/$program" "$(dirname "$0")/corpus/$name" 2>&1); then
    echo "ok fuzz/$name"
  else
    echo "not ok fuzz/$name"
    tail -20 <<<"$output"
    failed=1
  fi
done
exit $failed
