#!/usr/bin/env bash
# A short soak of entry processes under faults, with fixed seeds:
# check-soak.sh BUILD. test/soak.sh runs longer ones.
build=${1:-build}
folder=$build/soak-logs/check
mkdir -p "$folder"
run () {
  "$build/soak" --program "$build/trefoilspard" --seconds 8 \
    --folder "$folder/$1" "${@:2}" >"$folder/$1.txt" 2>&1
}
run faults --seed 1 &
first=$!
run planned --seed 2 --planned &
second=$!
run poison --seed 3 --poison-block &
third=$!
run limits --seed 4 --limits &
fourth=$!
run drills --seed 5 --drills &
fifth=$!
run foreign --seed 7 --foreign-answers &
seventh=$!
run endless --seed 8 --endless &
ninth=$!
run long-runs --seed 1 --long-runs &
eighth=$!
run broken --seed 31 --broken-answers &
tenth=$!
run pauses --seed 1 --pauses &
twelfth=$!
# Hosts send to cold engines once they have been listed for some seconds.
run cold --seed 2 --cold --seconds 20 &
eleventh=$!
{
  run cut-streams --seed 5 --cut-streams
  rc=$?
  run cut-callers --seed 6 --cut-callers && [ $rc -eq 0 ]
} &
sixth=$!
failed=0
wait $first || failed=1
wait $second || failed=1
wait $third || failed=1
wait $fourth || failed=1
wait $fifth || failed=1
wait $sixth || failed=1
wait $seventh || failed=1
wait $eighth || failed=1
wait $ninth || failed=1
wait $tenth || failed=1
wait $eleventh || failed=1
wait $twelfth || failed=1
for name in faults planned poison limits drills cut-streams cut-callers \
  foreign long-runs endless broken cold pauses; do
  grep -E '^(not )?ok ' "$folder/$name.txt" || echo "not ok soak/$name"
  grep 'BROKEN' "$folder/$name.txt"
done
exit $failed
