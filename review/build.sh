#!/bin/sh
# Build the stand-ins of the cases into BUILD/review: build.sh [BUILD]. Without
# BUILD, that of the deploy file is used; it must be built before.
set -e
cd "$(dirname "$0")/.."
build=${1:-target}
mkdir -p "$build/review"
flags="$(pkg-config --cflags --libs libuv libh2o libprotobuf-c glib-2.0 \
  log4c json-c libsodium libxxhash openssl zlib)"
for case in review/*/case.c; do
  number="$(basename "$(dirname "$case")")"
  # shellcheck disable=SC2086
  cc -std=c11 -O1 -g -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -Wall -Wextra \
    -Wno-unused-parameter -Isrc -Iplatform \
    "-DFLEET_PROGRAM=\"$build/trefoilspard\"" \
    -o "$build/review/case-$number" "$case" review/common/*.c \
    test/soak-store.c test/reserveport.c "$build/libtrefoilspar-core.a" \
    $flags -lcsv -lhttp_parser -lm
done
