#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
number="$(basename "$folder")"
if [ ! -x "target/review/case-$number" ] || [ ! -x target/trefoilspard ]; then
  echo "build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
exec "target/review/case-$number" "$folder"
