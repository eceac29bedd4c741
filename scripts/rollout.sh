#!/usr/bin/env bash
# Measures the rollout of templates on four entries with 150 organisations:
# time to in force everywhere with a calm, slow and losing platform, calls of
# the platform, and reversals while operators race and entries are restarted.
#
#   scripts/rollout.sh [DIR]
#
# Environment:
#   CHANGES=200 RACE_CHANGES=1000   numbers of changes
#   PORT_BASE=27000                 first port tried
#   SYCAMORERAIL_BIN=DIR            binaries; default target/release, with the
#                                   example rollout_time in DIR/examples
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
export SYCAMORERAIL_BIN=${SYCAMORERAIL_BIN:-$root/target/release}
dir=${1:-$(mktemp -d)}
measure="$SYCAMORERAIL_BIN/examples/rollout_time --dir $dir"

"$SYCAMORERAIL_BIN/sycamorerail-bench" layout --scenario "$root/bench/calm-alpenfunk.yaml" \
    --dir "$dir" --port-base "${PORT_BASE:-27000}" --entries 4 --upstreams 2 --organisations 150
"$root/scripts/cluster.sh" up "$dir"
trap '"$root/scripts/cluster.sh" down "$dir"' EXIT
"$SYCAMORERAIL_BIN/sycamorerail-bench" publish --dir "$dir"

# Kills one entry after the other and starts it again, until the file is gone.
restart_entries() {
    local number=0 name pid
    while [ -e "$dir/restarting" ]; do
        sleep 2
        name=entry-$((number % 4 + 1))
        number=$((number + 1))
        pid=$(cat "$dir/pids/$name.pid")
        kill -KILL "$pid" 2>/dev/null || true
        touch "$dir/start/$name"
    done
    echo "restarts: $number"
}

run() {
    echo "## $1"
    shift
    $measure "$@"
}

changes=${CHANGES:-200}
run "platform calm, idle" --measure idle
run "platform calm (3 ms)" --measure time --changes "$changes"
run "platform slow (200 to 600 ms)" --measure time --changes "$changes" \
    --faults '{"delay_ms":200,"jitter_ms":400}'
run "platform loses 30% of answers" --measure time --changes "$changes" \
    --faults '{"lose_answers":0.3}'
touch "$dir/restarting"
restart_entries &
restarts=$!
run "six racing operators, 30% of answers lost, outages, entries killed in turn" --measure race \
    --changes "${RACE_CHANGES:-1000}" --organisations 3 --faults '{"lose_answers":0.3}'
rm -f "$dir/restarting"
wait "$restarts"
