#!/bin/sh
# Build the stand-ins of the cases into target/review, after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="$(pkg-config --cflags --libs libuv libh2o libprotobuf-c glib-2.0 \
  log4c json-c libsodium libxxhash openssl zlib)"
for case in review/*/case.c; do
  number="$(basename "$(dirname "$case")")"
  # shellcheck disable=SC2086
  cc -std=c11 -O1 -g -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -Wall -Wextra \
    -Wno-unused-parameter -Isrc -Iplatform \
    -o "target/review/case-$number" "$case" review/common/fleet.c \
    test/soak-store.c test/reserveport.c target/libtrefoilspar-core.a \
    $flags -lcsv -lhttp_parser -lm
done
