#!/bin/sh
# Run every test in the build folder and add up what they print:
# run.sh BUILD [SANITIZED]. The test programs and the corpus of the fuzz
# targets run once more from the folder SANITIZED, if it is given.
# A case named in KNOWN-RED.txt counts as neither passed nor failed.
build=$1
sanitized=$2
out=$(mktemp)
trap 'rm -f "$out"' EXIT
export ASAN_OPTIONS=exitcode=99
export UBSAN_OPTIONS=exitcode=99:print_stacktrace=1

# run NAME_PREFIX COMMAND...
run () {
  prefix=$1
  shift
  timeout 600 "$@" >"$out.one" 2>&1
  rc=$?
  quiet=1
  grep -q '^not ok ' "$out.one" && quiet=0
  sed "s|^\(not \)\{0,1\}ok |&$prefix|" "$out.one" >>"$out"
  rm -f "$out.one"
  # A program that fails without naming a case is a failure of its own; a
  # sanitizer ends it with the same exit status as a failed case.
  name=$(basename "$1")
  [ "$name" != bash ] || name=$(basename "$2")
  if [ $rc -gt 1 ] || { [ $rc -eq 1 ] && [ $quiet -eq 1 ]; }; then
    echo "not ok $prefix$name/exit-status-$rc" >>"$out"
  fi
}

for t in "$build"/test-*; do
  [ -f "$t" ] && [ -x "$t" ] && run "" "$t"
done
for t in test/check-*.sh; do
  run "" bash "$t" "$build"
done
if [ -n "$sanitized" ]; then
  for t in "$sanitized"/test-*; do
    [ -f "$t" ] && [ -x "$t" ] && run sanitized/ "$t"
  done
  run sanitized/ bash test/check-fuzz.sh "$sanitized"
  run sanitized/ bash test/check-stop.sh "$sanitized"
fi
grep -v '^ok ' "$out"
passed=$(grep -c '^ok ' "$out")
failed=0
for name in $(sed -n 's/^not ok //p' "$out"); do
  if grep -q "^test: ${name#sanitized/}\$" KNOWN-RED.txt 2>/dev/null; then
    echo "known red: $name"
  else
    failed=$((failed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
