#!/usr/bin/env bash
# Measures the placement policies against each other, and the defaults under
# faults: the tables of docs/DECISIONS.md.
#
#   scripts/decisions.sh policies    four policies, both deployments, calm
#   scripts/decisions.sh conditions  the same under bursts, stragglers, an upstream
#                                    that fails everything, one killed, cancellations
#   scripts/decisions.sh faults      the defaults under bursts and faults
#   scripts/decisions.sh table       the rows of all results so far
#
# Environment:
#   SEEDS="1 2 3"     one run each
#   LOADS="0.5 0.8 0.9 0.95"  shares of all slots, for `policies`
#   LANES=3           runs at a time; each takes about one core
#   SECONDS_EACH=20   measured time of a run of `policies` and `conditions`
#   OUT=DIR           results; default bench-results/decisions
set -euo pipefail
cd "$(dirname "$0")/.."

readonly POLICIES="random two_choices least_wait late_binding"
readonly DEPLOYMENTS="alpenfunk rangmancha"
readonly CONDITIONS="burst stragglers black-hole killed wave"
readonly FAULTS="bursts bad-upstreams cancellations entry-lost planned-stop platform"
readonly WARM_UP_S=4 FIRST_PORT=12000 PORTS_A_RUN=100 PORT_RANGES=180
started=0
seeds=${SEEDS:-1 2 3}
loads=${LOADS:-0.5 0.8 0.9 0.95}
lanes=${LANES:-3}
seconds_each=${SECONDS_EACH:-20}
out=${OUT:-bench-results/decisions}
mkdir -p "$out/scenarios"

# A copy of the calm scenario with another policy and length.
write_scenario() { # deployment policy
    local file=$out/scenarios/calm-$1-$2.yaml
    sed -E "s/^name: .*/name: calm-$1-$2/
        s/^warm_up_ms: .*/warm_up_ms: $((WARM_UP_S * 1000))/
        s/^duration_ms: .*/duration_ms: $((seconds_each * 1000))/" "bench/calm-$1.yaml" >"$file"
    printf 'policy: %s\noverrides: {kind: {placement: {spread: even, policy: %s}}}\n' \
        "$2" "$2" >>"$file"
    echo "$file"
}

# A scenario of one condition with one policy. What fails does so from a fifth of
# the measured time on. A tenth of stragglers adds 40 % to the load.
write_condition() { # condition deployment policy
    local file=$out/scenarios/$1-$2-$3.yaml load=0.7 bursts="" faults="" waves=""
    local from=$((WARM_UP_S * 1000 + seconds_each * 200))
    local until=$(((WARM_UP_S + seconds_each) * 1000))
    case $1 in
        burst) load=0.5 bursts=", bursts: {every_ms: 8000, length_ms: 2000, factor: 3}" ;;
        stragglers) load=0.5
            faults="{at_ms: $from, fault: stragglers, target: upstream-*, share: 0.1, factor: 5}" ;;
        black-hole) faults="{at_ms: $from, fault: upstream_fails_everything, target: upstream-1}" ;;
        killed) faults="{at_ms: $from, fault: kill, target: agent-3}, {at_ms: $from, fault: kill, target: upstream-3}" ;;
        wave) waves="{at_ms: $from, share: 0.5}, {at_ms: $((until - 4000)), share: 0.9}" ;;
    esac
    cat >"$file" <<YAML
name: $1-$2
deployment: $2
warm_up_ms: $((WARM_UP_S * 1000))
duration_ms: $((seconds_each * 1000))
declared_run_factor: 0.33
arrivals: {load: $load, request_share: 0.5, max_job_tasks: 8$bursts}
faults: [$faults]
cancellations: [$waves]
policy: $3
overrides: {kind: {placement: {spread: even, policy: $3}}}
YAML
    echo "$file"
}

# Runs one scenario with one seed, and a load unless it is "-".
run() { # scenario load seed first-port
    local load=$2
    [[ $load != - ]] || load=""
    local name code=0
    name=$(basename "$1" .yaml)$load-$3
    OUT=$out/$name SEEDS=$3 LOADS=$load PORT_BASE=$4 scripts/bench.sh "$1" \
        >"$out/$name.log" 2>&1 || code=$?
    ((code == 0)) || echo "$name: exit code $code, see $out/$name.log"
}

# Starts a run when a lane is free, in a range of ports of its own.
in_lane() { # scenario load seed
    while (($(jobs -rp | wc -l) >= lanes)); do wait -n || true; done
    run "$@" $((FIRST_PORT + PORTS_A_RUN * (started % PORT_RANGES))) &
    started=$((started + 1))
}

policies() {
    local seed load deployment policy
    for seed in $seeds; do
        for load in $loads; do
            for deployment in $DEPLOYMENTS; do
                for policy in $POLICIES; do
                    in_lane "$(write_scenario "$deployment" "$policy")" "$load" "$seed"
                done
            done
        done
    done
    wait
}

conditions() {
    local seed deployment policy condition
    for seed in $seeds; do
        for condition in $CONDITIONS; do
            for deployment in $DEPLOYMENTS; do
                for policy in $POLICIES; do
                    in_lane "$(write_condition "$condition" "$deployment" "$policy")" - "$seed"
                done
            done
        done
    done
    wait
}

faults() {
    local seed deployment fault
    for seed in $seeds; do
        for deployment in $DEPLOYMENTS; do
            for fault in $FAULTS; do
                in_lane "bench/$fault-$deployment.yaml" - "$seed"
            done
        done
    done
    wait
}

table() {
    local bin=${SYCAMORERAIL_BIN:-target/release}
    find "$out" -name '*.json' -not -name cluster.json -not -path '*.d/*' -print0 | sort -z |
        xargs -0 "$bin/sycamorerail-bench" report --markdown
}

case ${1:-} in
    policies | conditions | faults | table) "$1" ;;
    *) sed -n '2,17s/^# \{0,1\}//p' "$0"; exit 2 ;;
esac
