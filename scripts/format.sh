#!/bin/sh
# Run clang-format with the given options over the hand-written sources.
set -e
git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '\.pb-c\.' \
  | xargs -r clang-format --style=file "$@"
