#!/usr/bin/env bash
# Runs scenarios whole: layout, start, publish, load, stop, report.
#
#   scripts/bench.sh SCENARIO [SCENARIO...]
#
# SCENARIO is a name in bench/ or a path. Environment:
#   SEEDS="1 2 3"        seeds, one run each; default: the scenario's own
#   LOADS="0.5 0.8"      loads, one run each; default: the scenario's own
#   OUT=DIR              results and report; default bench-results
#   PORT_BASE=20000      first port tried; default one at random
#   SYCAMORERAIL_BIN=DIR binaries; default target/release
set -euo pipefail

# Read whole before it runs, so that an edit meanwhile does no harm.
{

[ $# -ge 1 ] || { sed -n '2,10s/^# \{0,1\}//p' "$0"; exit 2; }
root=$(cd "$(dirname "$0")/.." && pwd)
export SYCAMORERAIL_BIN=${SYCAMORERAIL_BIN:-$root/target/release}
out=${OUT:-$root/bench-results}
bench=$SYCAMORERAIL_BIN/sycamorerail-bench
build="$(basename "$SYCAMORERAIL_BIN") $(git -C "$root" rev-parse --short HEAD 2>/dev/null || echo unknown)"
mkdir -p "$out"
broken=0

run_one() {
    local scenario=$1 seed=$2 load=$3 name dir status=0 options=()
    name=$(basename "$scenario" .yaml)${load:+-load-$load}${seed:+-seed-$seed}
    dir=$out/$name.d
    rm -rf "$dir"
    [ -z "$seed" ] || options+=(--seed "$seed")
    [ -z "$load" ] || options+=(--load "$load")
    [ -z "${PORT_BASE:-}" ] || options+=(--port-base "$PORT_BASE")
    "$bench" layout --scenario "$scenario" --dir "$dir" "${options[@]}"
    "$root/scripts/cluster.sh" up "$dir"
    trap '"$root/scripts/cluster.sh" down "$dir"' EXIT
    "$bench" publish --dir "$dir"
    "$bench" run --dir "$dir" --out "$out/$name.json" --build "$build" || status=$?
    "$root/scripts/cluster.sh" down "$dir"
    trap - EXIT
    [ "$status" -eq 0 ] || broken=$status
    results+=("$out/$name.json")
}

results=()
for scenario in "$@"; do
    [ -e "$scenario" ] || scenario=$root/bench/$scenario.yaml
    # "-" stands for the scenario's own.
    for load in ${LOADS:--}; do
        for seed in ${SEEDS:--}; do
            run_one "$scenario" "${seed#-}" "${load#-}"
        done
    done
done
existing=()
for file in "${results[@]}"; do [ -e "$file" ] && existing+=("$file"); done
[ ${#existing[@]} -gt 0 ] || { echo "no result" >&2; exit 1; }
"$bench" report --out "$out/report.html" "${existing[@]}"
"$bench" report --markdown "${existing[@]}"
echo "report: $out/report.html"
exit "$broken"
}
