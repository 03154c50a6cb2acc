#!/usr/bin/env bash
# Play days of a site with variants of the settings and compare them:
#   experiment.sh BENCH SITE "DAYS" "SEEDS" OUT NAME=SED...
# BENCH is the users' bench, SITE one of its site files. Each variant is a sed
# expression for platform/settings.json.in ("" for none), played in a clone of
# the committed code. OUT.md gets the table, OUT.svg the plot of worth, OUT.txt
# the raw lines with commit, day and seed. No processor time is charged.
set -eu
bench=$(realpath "$1")
site=$(realpath "$2")
days=$3
seeds=$4
out=$(realpath -m "$5")
shift 5
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
commit=$(git -C "$root" rev-parse --short HEAD)
mkdir -p "$(dirname "$out")"
: >"$out.txt"

# value FILE PATTERN: the first number of the report's line with the pattern.
value () { sed -n "s/^ *-*\([0-9.]*\) *\([0-9.]*\) $2.*/\2/p" "$1" | head -1; }

for variant in "$@"; do
  name=${variant%%=*}
  git clone -q "$root" "$work/$name"
  (
    cd "$work/$name"
    sed -i -e "${variant#*=}" platform/settings.json.in
    "$bench" build >/dev/null
    for day in $days; do
      for seed in $seeds; do
        "$bench" run "$site" "$day" --seed "$seed" --no-cpu \
          --why "experiment $name" >"$work/report" 2>&1 || true
        read -r worth served < <(grep -A1 '^day ' "$work/report" | tail -1 \
          | awk '{ print $4, $5 }')
        first=$(awk '/^class /{ on = 1; next } on && NF == 0 { exit }
          on { print $1 ":" $(NF - 1) "/" $NF }' "$work/report" | paste -sd' ')
        echo "$commit $name $day $seed $worth $served" \
          "read_again=$(value "$work/report" '1,000 tokens of shared')" \
          "zone_gb=$(value "$work/report" 'GB between zones')" \
          "cpu_s=$(value "$work/report" 'processor seconds')" \
          "$first" >>"$out.txt"
      done
    done
    cp -rn journal/. "$root/journal/"
  )
done

awk -v out="$out" '
  { n[$2]++; w[$2] += $5; s[$2] += $6
    for (i = 7; i <= 9; i++) { split($i, a, "="); v[$2, a[1]] += a[2] }
    if (!($2 in seen)) { seen[$2] = 1; order[++count] = $2 } }
  END {
    md = out ".md"; svg = out ".svg"
    print "| variant | days | worth | served | 1,000 tokens read again | GB between data centres | processor s |" >md
    print "| --- | --- | --- | --- | --- | --- | --- |" >md
    printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"520\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", 30 * count + 20 >svg
    for (i = 1; i <= count; i++) {
      k = order[i]
      printf "| %s | %d | %.3f | %.3f | %.0f | %.3f | %.2f |\n", k, n[k], w[k] / n[k], s[k] / n[k], v[k, "read_again"] / n[k], v[k, "zone_gb"] / n[k], v[k, "cpu_s"] / n[k] >md
      printf "<text x=\"5\" y=\"%d\">%s</text><rect x=\"120\" y=\"%d\" width=\"%d\" height=\"18\" fill=\"#4a7\"/><text x=\"%d\" y=\"%d\">%.3f</text>\n", 30 * i - 6, k, 30 * i - 20, 350 * w[k] / n[k], 125 + 350 * w[k] / n[k], 30 * i - 6, w[k] / n[k] >svg
    }
    print "</svg>" >svg
  }' "$out.txt"
