# Functions that run a deployment on loopback; sourced by bin/demo, bin/roll and bin/bench.
# The caller sets $root and $profile, and $host_root if the entry hosts run another build.

directory=$root/target/run-$profile
HYSSOPHITCH_SETTINGS=$directory/hyssophitch.yaml
export HYSSOPHITCH_SETTINGS
HYSSOPHITCH_JAVA=$("$root/bin/jdk")/bin/java || exit 1
export HYSSOPHITCH_JAVA
# C1 only: in a short run, warming up C2 in each of the 26 JVMs costs more CPU time than it saves.
HYSSOPHITCH_JVM_FLAGS=${HYSSOPHITCH_JVM_FLAGS:--XX:TieredStopAtLevel=1}
export HYSSOPHITCH_JVM_FLAGS
WAIT_ATTEMPTS=40
WAIT_SECONDS=0.5
declare -A pids

say() { echo "$(basename "$0"): $*" >&2; }

build_if_needed() {
    local jar=$root/bench/target/hyssophitch-bench-0.1.0.jar
    if [ ! -e "$jar" ] || [ -n "$(find "$root" -path '*/src/main/*' -newer "$jar" -print -quit)" ]; then
        say "building all modules"
        "$root/bin/build" || exit 1
    fi
}

start() { # NAME PROGRAM ARGUMENTS...
    start_from "$root" "$@"
}

start_from() { # ROOT NAME PROGRAM ARGUMENTS...
    local from=$1 name=$2
    shift 2
    "$from/bin/$1" "${@:2}" >>"$directory/$name.out" 2>>"$directory/$name.log" &
    pids[$name]=$!
}

start_host() { # HOST
    start_from "${host_root:-$root}" "agent-$1" hyssophitch-agent "$directory/agent-$1.yaml"
    start_from "${host_root:-$root}" "proxy-$1" hyssophitch-proxy "$directory/proxy-$1.yaml"
}

hosts() { (cd "$directory" && ls agent-entry-*.yaml | sed 's/^agent-\(.*\)\.yaml$/\1/'); }

stop_all() {
    [ ${#pids[@]} -gt 0 ] && kill "${pids[@]}" 2>/dev/null
    sleep "$WAIT_SECONDS"
    [ ${#pids[@]} -gt 0 ] && kill -9 "${pids[@]}" 2>/dev/null
    wait 2>/dev/null
}

await() { # COMMAND...: retries the command until it succeeds
    local attempt
    for attempt in $(seq $WAIT_ATTEMPTS); do
        "$@" && return 0
        sleep "$WAIT_SECONDS"
    done
    say "timed out; command keeps failing: $*"
    return 1
}

is_ready() { "$root/bin/hyssophitch" status >"$directory/status.txt" 2>/dev/null; }

start_deployment() {
    trap stop_all EXIT
    trap 'exit 130' INT TERM
    rm -rf "$directory"
    mkdir -p "$directory"
    "$root/bin/hyssophitch-standin" prepare --profile "$profile" --directory "$directory" || exit 1
    started_at=$(date +%s)
    start platform hyssophitch-standin platform --profile "$profile"
    start servers hyssophitch-standin servers --profile "$profile"
    start console hyssophitch-console "$directory/console.yaml"
    local host
    for host in $(hosts); do
        start_host "$host"
    done
    say "started ${#pids[@]} processes; logs in $directory"
    await "$root/bin/hyssophitch" apply --author demo "$directory/document.yaml" >&2 || exit 1
    await is_ready || { cat "$directory/status.txt" >&2; exit 1; }
    cat "$directory/status.txt" >&2
}
