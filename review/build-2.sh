#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into
# target/review-2/. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for scene in review/*/scene.c; do
  number=$(basename "$(dirname "$scene")")
  # shellcheck disable=SC2046
  ${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter \
    -D_GNU_SOURCE -o "target/review-2/scene-$number" "$scene" \
    review/stage-2/*.c $(pkg-config --cflags --libs glib-2.0 json-c) -lpthread
done
