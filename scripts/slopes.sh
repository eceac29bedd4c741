#!/usr/bin/env bash
# Measures what processes use and send, idle and under load, at several sizes,
# and fits lines: by agents, entries, organisations (idle), by starts a second
# (under load; `peak` with one entry at high rates), and by answers kept.
#
#   scripts/slopes.sh [agents|entries|organisations|load|peak|kept]...   default: all
#
# Environment:
#   AGENTS="10 30 60"  ENTRIES="2 4 6"  ORGANISATIONS="1 20 60"  LOADS="0.1 0.3 0.6"
#   PEAK_LOADS="0.08 0.16 0.32"  KEPT_S="15 45 90"
#   WINDOW_MS=20000    length of an idle sample
#   OUT=DIR            default bench-results/slopes
#   PORT_BASE=20000    first port tried; give each of several at a time its own
#   SYCAMORERAIL_BIN=DIR binaries; default target/release
set -euo pipefail

# Read whole before it runs, so that an edit meanwhile does no harm.
{

root=$(cd "$(dirname "$0")/.." && pwd)
export SYCAMORERAIL_BIN=${SYCAMORERAIL_BIN:-$root/target/release}
out=${OUT:-$root/bench-results/slopes}
bench=$SYCAMORERAIL_BIN/sycamorerail-bench
build="$(basename "$SYCAMORERAIL_BIN") $(git -C "$root" rev-parse --short HEAD 2>/dev/null || echo unknown)"
window_ms=${WINDOW_MS:-20000}
# Time for sessions and first reports before an idle sample.
settle_s=5
mkdir -p "$out"

# with_cluster NAME LAYOUT-OPTIONS... -- BENCH-COMMAND...
with_cluster() {
    local name=$1 options=() dir
    shift
    while [ "$1" != -- ]; do options+=("$1"); shift; done
    shift
    dir=$out/$name.d
    rm -rf "$dir"
    "$bench" layout --scenario "${scenario:-$root/bench/slopes.yaml}" --dir "$dir" \
        --port-base "${PORT_BASE:-20000}" "${options[@]}"
    "$root/scripts/cluster.sh" up "$dir"
    trap '"$root/scripts/cluster.sh" down "$dir"' EXIT
    "$bench" publish --dir "$dir"
    sleep "$settle_s"
    "$bench" "$@" --dir "$dir" --out "$out/$name.json" >/dev/null
    "$root/scripts/cluster.sh" down "$dir"
    trap - EXIT
}

idle() {
    local by=$1 option=$2 files=() value
    shift 2
    for value in "$@"; do
        with_cluster "idle-$by-$value" "$option" "$value" -- sample --window-ms "$window_ms"
        files+=("$out/idle-$by-$value.json")
    done
    echo "## Idle, by $by"
    "$bench" slopes --by "$by" --out "$out/idle-$by.json" "${files[@]}" | tee "$out/idle-$by.md"
}

# loaded NAME TITLE LOAD...: runs at several loads, by starts a second.
loaded() {
    local name=$1 title=$2 files=() load
    shift 2
    for load in "$@"; do
        with_cluster "$name-$load" --load "$load" -- run --build "$build"
        files+=("$out/$name-$load.json")
    done
    echo "## $title, by starts_per_s"
    "$bench" slopes --by starts_per_s --out "$out/$name.json" "${files[@]}" | tee "$out/$name.md"
}

# The same rate for longer and longer, below the retention.
kept() {
    local files=() length_s scenario=$out/kept.yaml
    for length_s in "$@"; do
        sed -E "s/^duration_ms: .*/duration_ms: $((length_s * 1000))/" \
            "$root/bench/slopes.yaml" >"$scenario"
        with_cluster "kept-$length_s" --load 0.6 -- run --build "$build"
        files+=("$out/kept-$length_s.json")
    done
    echo "## Under load, by kept_answers"
    "$bench" slopes --by kept_answers --out "$out/kept.json" "${files[@]}" | tee "$out/kept.md"
}

[ $# -gt 0 ] || set -- agents entries organisations load peak kept
for part in "$@"; do
    case $part in
        agents) idle agents --upstreams ${AGENTS:-10 30 60} ;;
        entries) idle entries --entries ${ENTRIES:-2 4 6} ;;
        organisations) idle organisations --organisations ${ORGANISATIONS:-1 20 60} ;;
        load) loaded load "Under load" ${LOADS:-0.1 0.3 0.6} ;;
        # One entry, so that its rate is the cluster's.
        peak) scenario=$root/bench/peak.yaml \
            loaded peak "One entry at high rates" ${PEAK_LOADS:-0.08 0.16 0.32} ;;
        kept) kept ${KEPT_S:-15 45 90} ;;
        *) echo "slopes.sh: $part is none of agents, entries, organisations, load, peak, kept" >&2; exit 2 ;;
    esac
done
exit
}
