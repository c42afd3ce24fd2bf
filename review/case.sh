# Runs one case: `run_case NAME RECORD` from the case's folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run. With TROUBLE=0 the disruption is left out.

run_case() {
    local root scratch case_pid code
    root=$(cd ../.. && pwd)
    scratch=$(mktemp -d) || exit 2
    export SCRATCH=$scratch TROUBLE=${TROUBLE:-1}
    # The command with which the deploy file starts a director.
    RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
    export RUN
    local program=$root/review/standin/target/release/review-standin
    if [ -z "$RUN" ] || [ ! -x "$program" ]; then
        echo "could not run: build the project and review/build.sh first" >&2
        exit 2
    fi
    end_all() {
        # Each process by its id, and only those that this script started and that still run.
        [ -n "$case_pid" ] && kill "$case_pid" 2>/dev/null
        [ -f "$scratch/director.pid" ] && kill -KILL "$(cat "$scratch/director.pid")" 2>/dev/null
        rm -rf "$scratch"
    }
    cd "$root" || exit 2
    "$program" "$1" "$2" &
    case_pid=$!
    trap end_all EXIT
    trap 'exit 2' INT TERM
    wait "$case_pid"
    code=$?
    case_pid=
    [ "$code" -le 1 ] || code=2
    exit "$code"
}
