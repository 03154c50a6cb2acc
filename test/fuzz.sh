#!/usr/bin/env bash
# Search for inputs that break a fuzz target: fuzz.sh BUILD [--seconds N]
# [--seed N] [NAME...]. New inputs stay in BUILD/corpus-NAME; one that breaks
# it is written to BUILD/crash-NAME-*.
build=$1
shift
seconds=60
seed=1
names=()
while [ $# -gt 0 ]; do
  case $1 in
  --seconds) seconds=$2; shift 2 ;;
  --seed) seed=$2; shift 2 ;;
  *) names+=("$1"); shift ;;
  esac
done
here=$(dirname "$0")
if [ ${#names[@]} -eq 0 ]; then
  for target in "$here"/fuzz-*.c; do
    name=$(basename "$target" .c)
    names+=("${name#fuzz-}")
  done
fi
failed=0
for name in "${names[@]}"; do
  mkdir -p "$build/corpus-$name"
  "$build/fuzz-$name" -max_total_time="$seconds" -seed="$seed" -max_len=8192 \
    -artifact_prefix="$build/crash-$name-" "$build/corpus-$name" \
    "$here/corpus/$name" >"$build/fuzz-$name.log" 2>&1
  if [ $? -eq 0 ]; then
    echo "ok fuzz/$name, $seconds s, seed $seed:" \
      "$(grep -oE 'Done [0-9]+ runs' "$build/fuzz-$name.log")"
  else
    echo "not ok fuzz/$name, seed $seed: $build/fuzz-$name.log"
    failed=1
  fi
done
exit $failed
