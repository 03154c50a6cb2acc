#!/bin/sh
# Run clang-tidy over the hand-written sources: lint.sh BUILD JOBS
set -e
git ls-files -co --exclude-standard '*.c' | grep -v '\.pb-c\.' \
  | xargs -r -P "$2" -n 4 clang-tidy --quiet -p "$1" 2>/dev/null
