#!/usr/bin/env bash
# Starts and stops the processes of a directory that `sycamorerail-bench layout`
# wrote, and records their ids in DIR/pids.
#
#   scripts/cluster.sh up DIR        start all, and watch DIR/start
#   scripts/cluster.sh down DIR      stop all that are still running
#   scripts/cluster.sh start DIR NAME   start one process, again
#
# While up, a file DIR/start/NAME (a `start` fault) starts that process again.
# Binaries come from SYCAMORERAIL_BIN, target/release by default.
set -euo pipefail

usage() {
    sed -n '2,11s/^# \{0,1\}//p' "$0"
    exit 2
}

[ $# -ge 2 ] || usage
command=$1
dir=$(cd "$2" && pwd)
bin=${SYCAMORERAIL_BIN:-$(cd "$(dirname "$0")/.." && pwd)/target/release}
[ -d "$bin" ] || { echo "no binaries in $bin: build them or set SYCAMORERAIL_BIN" >&2; exit 1; }
bin=$(cd "$bin" && pwd)

# Seconds that planned stops may take before SIGKILL.
stop_s=10

start_one() {
    local name=$1 binary settings
    read -r binary settings < <(awk -v name="$name" '$1 == name {print $2, $3}' "$dir/processes.txt")
    [ -n "${binary:-}" ] || { echo "no process $name in $dir/processes.txt" >&2; return 1; }
    (
        cd "$dir"
        exec "$bin/$binary" --settings "$settings" >>"logs/$name.log" 2>&1
    ) &
    echo $! >"$dir/pids/$name.pid"
}

# Starts processes again on request, until its own id file is gone.
watch_requests() {
    while [ -e "$dir/watch.pid" ]; do
        for request in "$dir"/start/*; do
            [ -e "$request" ] || continue
            rm -f "$request"
            start_one "$(basename "$request")"
        done
        sleep 0.1
    done
}

up() {
    local name rest
    while read -r name rest; do
        start_one "$name"
    done <"$dir/processes.txt"
    touch "$dir/watch.pid"
    watch_requests >>"$dir/logs/watch.log" 2>&1 </dev/null &
    echo $! >"$dir/watch.pid"
    disown -a
}

# Whether the recorded id still runs one of our binaries, and was not given
# to another process since.
is_ours() {
    local exe
    exe=$(readlink "/proc/$1/exe" 2>/dev/null) || return 1
    [ "${exe#"$bin"/}" != "$exe" ]
}

stop_role() {
    local prefix=$1 file pid waited=0 pids=()
    for file in "$dir"/pids/"$prefix"*.pid; do
        [ -e "$file" ] || continue
        pid=$(cat "$file")
        is_ours "$pid" || continue
        # A frozen process hears SIGTERM only once it goes on.
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
        pids+=("$pid")
    done
    for pid in "${pids[@]}"; do
        while is_ours "$pid" && [ "$waited" -lt $((stop_s * 10)) ]; do
            sleep 0.1
            waited=$((waited + 1))
        done
        if is_ours "$pid"; then
            echo "$prefix process $pid did not stop within $stop_s s, killed" >&2
            kill -KILL "$pid" 2>/dev/null || true
        fi
    done
}

down() {
    rm -f "$dir/watch.pid"
    for role in upstream agent entry platform; do
        stop_role "$role"
    done
}

case $command in
    up) up ;;
    down) down ;;
    start) [ $# -eq 3 ] || usage; start_one "$3"; disown -a ;;
    *) usage ;;
esac
