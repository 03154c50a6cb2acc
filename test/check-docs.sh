#!/usr/bin/env bash
# The pages against the programs and the tree: check-docs.sh BUILD
build=${1:-build}
cd "$(dirname "$0")/.." || exit 1
line_limit=600
failed=0

# result NAME FAULT: FAULT is empty if the check holds.
result () {
  if [ -z "$2" ]; then
    echo "ok docs/$1"
  else
    echo "not ok docs/$1"
    printf '%s\n' "$2" | head -20 | sed 's/^/  /'
    failed=1
  fi
}

# written PAGE OPTION: the page's table is what the daemon prints.
written () {
  result "$1" "$(diff <(grep '^|' "docs/$1" 2>&1) \
    <("$build/trefoilspard" "$2" 2>&1) 2>&1)"
}

missing_pages () {
  grep -oHP '(?<![/\w.])(docs|etc|man)/[\w@./-]*\w' README.md docs/*.md \
    | sort -u | while IFS=: read -r page name; do
    [ -e "$name" ] || echo "$page names $name"
  done
}

# long_files FOLDER
long_files () {
  git ls-files -co --exclude-standard "$1/*.c" "$1/*.h" | grep -v '\.pb-c\.' \
    | while read -r file; do
    [ "$(wc -l <"$file")" -le $line_limit ] || wc -l "$file"
  done
}

manual_faults () {
  for page in man/*.[18]; do
    groff -man -ww -z "$page" 2>&1
  done
}

written EVENTS.md --help-events
written SETTINGS.md --help-settings
result pages "$(missing_pages)"
result length-src "$(long_files src)"
result length-test "$(long_files test)"
command -v groff >/dev/null && result manual "$(manual_faults)"
exit $failed
