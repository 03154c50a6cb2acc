#!/bin/sh
# Write the protobuf-c code for every src/*.proto into the named folder.
set -e
for proto in src/*.proto; do
  [ -e "$proto" ] || continue
  protoc-c --proto_path=src --c_out="$1" "$proto"
done
