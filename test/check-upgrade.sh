#!/usr/bin/env bash
# Hosts of this build and of earlier ones side by side, under the soak's faults
# and checks: check-upgrade.sh BUILD. Each start of a host runs the other build,
# so that hosts are replaced one after the other, forth and back, by planned
# stops and kills. The earlier builds are made from the repository's history.
build=${1:-build}
commits="f4f946c 94e5045"
folder=$build/upgrade
failed=0

# make_earlier COMMIT: build its daemon in $folder/COMMIT.
make_earlier () {
  [ -x "$folder/$1/build/trefoilspard" ] && return 0
  rm -rf "${folder:?}/$1"
  mkdir -p "$folder/$1"
  git archive "$1" | tar -x -C "$folder/$1" || return 1
  cmake -S "$folder/$1" -B "$folder/$1/build" -DTREFOILSPAR_TESTS=OFF \
    >/dev/null || return 1
  cmake --build "$folder/$1/build" -j "$(nproc)" --target trefoilspard \
    >"$folder/$1/build.log" 2>&1
}

# run NAME COMMIT SOAK_OPTIONS...
run () {
  mkdir -p "$folder/$1"
  "$build/soak" --program "$build/trefoilspard" --seconds 8 \
    --other-program "$folder/$2/build/trefoilspard" --folder "$folder/$1" \
    "${@:3}" >"$folder/$1.txt" 2>&1
  rc=$?
  if [ $rc -eq 0 ] && grep -q '^ok ' "$folder/$1.txt"; then
    echo "ok upgrade/$1"
  else
    echo "not ok upgrade/$1"
    grep 'BROKEN' "$folder/$1.txt"
    return 1
  fi
}

for commit in $commits; do
  if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
    echo "not ok upgrade/history-without-$commit"
    echo "  the clone is shallow, or no repository: commit $commit is missing"
    failed=1
  elif ! make_earlier "$commit"; then
    echo "not ok upgrade/build-of-$commit"
    failed=1
  else
    run "faults-$commit" "$commit" --seed 1 &
    first=$!
    run "planned-$commit" "$commit" --seed 2 --planned &
    second=$!
    run "drills-$commit" "$commit" --seed 5 --drills &
    third=$!
    wait $first || failed=1
    wait $second || failed=1
    wait $third || failed=1
  fi
done
exit $failed
