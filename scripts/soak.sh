#!/usr/bin/env bash
# Soaks the adapter with fresh seeds, one after another; prints each result, keeps the logs of
# seeds that fail, and fails if one did.
#
#   scripts/soak.sh FIRST_SEED [COUNT]   default: 50 seeds
#
# Environment:
#   PLANS="promises_hold_under_random_faults planned_stops_lose_nothing
#          promises_hold_while_agents_know_little no_run_outlives_its_order
#          no_run_is_ordered_again_after_a_shared_stall"
#   SOAK_SECONDS=15  SOAK_ENTRIES, SOAK_AGENTS, SOAK_LANES as for the test
#   OUT=DIR            default bench-results/soak
set -euo pipefail
cd "$(dirname "$0")/.."

first=${1:?first seed}
count=${2:-50}
out=${OUT:-bench-results/soak}
plans=(promises_hold_under_random_faults planned_stops_lose_nothing
    promises_hold_while_agents_know_little no_run_outlives_its_order
    no_run_is_ordered_again_after_a_shared_stall)
if [ -n "${PLANS:-}" ]; then
    read -ra plans <<< "$PLANS"
fi
export SOAK_SECONDS=${SOAK_SECONDS:-15} RUST_BACKTRACE=0
mkdir -p "$out"
cargo test -p sycamorerail-adapter --test soak --locked --no-run

# soak SEED PLAN: returns whether it is green.
soak() {
    local log="$out/$2-$1.log" kept
    if SOAK_SEED=$1 cargo test -q -p sycamorerail-adapter --test soak --locked -- \
        --exact "$2" --nocapture > "$log" 2>&1; then
        echo "green seed=$1 $2"
        return 0
    fi
    kept=$(sed -n '/^logs are in /{s///p;q;}' "$log")
    if [ -n "$kept" ]; then
        cp -r "$kept" "$out/$2-$1"
    fi
    echo "RED   seed=$1 $2 log=$log"
    return 1
}

red=0
for ((seed = first; seed < first + count; seed++)); do
    for plan in "${plans[@]}"; do
        soak "$seed" "$plan" || red=$((red + 1))
    done
done
echo "seeds=$count red=$red"
[ "$red" -eq 0 ]
