# Shell functions that start stand-ins and instances on loopback and terminate them at exit.
# Sourced from the root of the repository. OPERATOR_KEY must be set; `what` is the name of the
# sourcing script in the failure message.

dir=$(mktemp -d)
pids=()

cleanup() {
    local code=$?
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$code" -ne 0 ]; then
        echo "$what failed; the last log lines of each process follow" >&2
        tail -n 15 "$dir"/*.log >&2 || true
    fi
    rm -rf "$dir"
    exit "$code"
}
trap cleanup EXIT

say() { printf '\n== %s ==\n' "$*"; }
fail() { echo "error: $*" >&2; exit 1; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Prints a string field of the JSON object on the first line of a file.
field() { head -n 1 "$2" | sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }

# Starts a process and waits until it has printed its addresses to NAME.json.
start() {
    local name=$1
    shift
    "$@" >"$dir/$name.json" 2>"$dir/$name.log" &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
    for _ in $(seq 200); do
        [ -s "$dir/$name.json" ] && return
        sleep 0.05
    done
    fail "$name did not start"
}

address() { field address "$dir/$1.json"; }

# Writes the settings of instance a<N> and starts it. The stand-ins `log` and `list` must be running.
start_instance() {
    local n=$1
    cat >"$dir/a$n.toml" <<SETTINGS
name = "a$n"
zone = "zone-$n"
[listen]
public = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
log = "$(address log)"
list = "$(address list)"
[operator]
key_digest = "$(digest "$OPERATOR_KEY")"
[timing]
discovery_ttl_ms = 1000
SETTINGS
    start "a$n" target/debug/limpetweird --config "$dir/a$n.toml"
}

# Lists instances a1 to a<COUNT> and the given backend servers as live.
announce() {
    local count=$1 instances="" backends="" n name public peer
    shift
    for n in $(seq "$count"); do
        public=$(field public "$dir/a$n.json")
        peer=$(field peer "$dir/a$n.json")
        instances+="{\"name\":\"a$n\",\"zone\":\"zone-$n\",\"public\":\"$public\",\"peer\":\"$peer\",\"state\":\"live\"},"
    done
    for name in "$@"; do
        backends+="{\"name\":\"$name\",\"state\":\"live\"},"
    done
    curl -sSf -X POST "http://$(address list)/control" \
        -d "{\"instances\":[${instances%,}],\"backends\":[${backends%,}]}" >/dev/null
}

# Prints the configuration of a started backend server. Arguments: name, service, zone.
backend() {
    printf '[[backend]]\nid = "%s"\nservice = "%s"\nzone = "%s"\naddress = "%s"\nslots = 8\nchecks_fencing = true\n' \
        "$1" "$2" "$3" "$(address "$1")"
}
