#!/bin/sh
# Install the Debian packages that the build and the tests need, if any of
# them is missing.
set -e
PACKAGES="gcc make cmake pkg-config libuv1-dev libh2o-dev libh2o-dev-common
libprotobuf-c-dev protobuf-c-compiler libglib2.0-dev liblog4c-dev libcsv-dev
libjson-c-dev libsodium-dev libxxhash-dev libssl-dev zlib1g-dev
libcunit1-dev libhttp-parser-dev
clang-format clang-tidy curl"
missing=
for p in $PACKAGES; do
  dpkg-query -W -f '${Status}\n' "$p" 2>/dev/null \
    | grep -q '^install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends \
  $missing
