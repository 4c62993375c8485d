# Functions for scripts that start programs; sourced, not run. Sets $bin and $work; on exit, ends the started programs.

bin=${BIN:-$PWD/build/bin}
work=$(mktemp -d)
pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop EXIT

fail() { echo "${0##*/}: $*" >&2; exit 1; }

# start NAME PROGRAM ARGS...: runs the program in the background and sets $pid to its process id.
start() {
    local name=$1
    shift
    "$bin/$1" "${@:2}" >"$work/$name.out" 2>"$work/$name.err" &
    pid=$!
    pids+=("$pid")
}

# address NAME WORD: waits until the program has printed a line that starts with WORD, and prints the next word.
address() {
    local found
    for _ in $(seq 200); do
        found=$(awk -v word="$2" '$1 == word { print $2; exit }' "$work/$1.out")
        [ -n "$found" ] && { echo "$found"; return; }
        sleep 0.05
    done
    cat "$work/$1.err" >&2
    fail "$1 did not start"
}

# post ADDRESS PATH BODY: sends one HTTP request without external HTTP tools; prints the status line.
post() {
    exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
    printf 'POST %s HTTP/1.1\r\nHost: script\r\nContent-Length: %d\r\n\r\n%s' "$2" "${#3}" "$3" >&3
    head -n 1 <&3
    exec 3>&-
}

# until_true SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
until_true() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.1
    done
}

# is_ready ADDRESS: succeeds when the health check of the entry VM returns 200.
is_ready() {
    local status
    { exec 4<>"/dev/tcp/${1%:*}/${1##*:}"; } 2>/dev/null || return 1
    printf 'GET /health HTTP/1.1\r\nHost: script\r\n\r\n' >&4
    read -r status <&4
    exec 4>&-
    [[ $status == *" 200 "* ]]
}

# digest TEXT: prints its SHA-256 in hexadecimal.
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
