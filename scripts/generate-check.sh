#!/bin/sh
# Fail if the committed protobuf-c code differs from what the compiler writes.
set -e
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
sh scripts/generate.sh "$out"
for f in "$out"/*; do
  [ -e "$f" ] || continue
  cmp "$f" "src/$(basename "$f")"
done
