#!/usr/bin/env bash
# Starts three instances, two engines, a plain service and the platform stand-ins on loopback, and
# shows an online answer, a refused key, a plain service and a batch job whose owner is killed.
# Exits 0 only if all of that was seen. Needs cargo, curl and the usual shell tools.
set -euo pipefail
cd "$(dirname "$0")"

ITEMS=48
OPERATOR_KEY=demo-operator-key
export LIMPETWEIR_KEY=demo-caller-key

dir=$(mktemp -d)
pids=()

cleanup() {
    local code=$?
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$code" -ne 0 ]; then
        echo "the demo failed; the last log lines of each process follow" >&2
        tail -n 15 "$dir"/*.log >&2 || true
    fi
    rm -rf "$dir"
    exit "$code"
}
trap cleanup EXIT

say() { printf '\n== %s ==\n' "$*"; }
fail() { echo "error: $*" >&2; exit 1; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Prints a string field of the first line of a file with one JSON object.
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
admin_addresses() { echo "$(field admin "$dir/a1.json"),$(field admin "$dir/a2.json"),$(field admin "$dir/a3.json")"; }
public_addresses() { echo "$(field public "$dir/a1.json"),$(field public "$dir/a2.json"),$(field public "$dir/a3.json")"; }
caller() { target/debug/limpetweir --address "$(public_addresses)" "$@"; }
operator() { LIMPETWEIR_OPERATOR_KEY=$OPERATOR_KEY target/debug/limpetweir --admin "$(admin_addresses)" "$@"; }

say "build"
cargo build --quiet --locked --workspace --bins --examples

say "start the stand-ins and three instances"
standin=target/debug/examples/standin
start log "$standin" log
start list "$standin" list --lag-ms 200
start weights "$standin" weights --weight small=1000000
for engine in engine-1 engine-2; do
    start "$engine" "$standin" engine --model small --slots 8
done
start tanks "$standin" plain
for n in 1 2 3; do
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
done

# The platform names the instances and backend servers.
instances=""
for n in 1 2 3; do
    public=$(field public "$dir/a$n.json")
    peer=$(field peer "$dir/a$n.json")
    instances+="{\"name\":\"a$n\",\"zone\":\"zone-$n\",\"public\":\"$public\",\"peer\":\"$peer\",\"state\":\"live\"},"
done
backends=""
for name in engine-1 engine-2 tanks; do
    backends+="{\"name\":\"$name\",\"state\":\"live\"},"
done
curl -sSf -X POST "http://$(address list)/control" \
    -d "{\"instances\":[${instances%,}],\"backends\":[${backends%,}]}" >/dev/null

say "publish a configuration"
backend() {
    printf '[[backend]]\nid = "%s"\nservice = "%s"\nzone = "%s"\naddress = "%s"\nslots = 8\nchecks_fencing = true\n' \
        "$1" "$2" "$3" "$(address "$1")"
}
cat >"$dir/config.toml" <<CONFIG
[[organisation]]
id = "shoemakers"
rate = 100.0
burst = 200.0
services = ["chat", "tank-readings"]
[[organisation.key]]
id = "demo"
sha256 = "$(digest "$LIMPETWEIR_KEY")"
[[service]]
id = "chat"
kind = "model"
models = ["small"]
backends = ["engine-1", "engine-2"]
[[service]]
id = "tank-readings"
kind = "plain"
access = "keyed"
idempotent = ["GET"]
backends = ["tanks"]
$(backend engine-1 chat zone-1)
$(backend engine-2 chat zone-2)
$(backend tanks tank-readings zone-1)
CONFIG
target/debug/limpetweir config check "$dir/config.toml"
operator config publish "$dir/config.toml" --base 0

say "a streamed online answer"
caller complete --model small --max-tokens 32 "Which last fits size 42?" | tee "$dir/answer.txt"
[ -s "$dir/answer.txt" ] || fail "the online answer is empty"
events=$(curl -sSfN "http://$(field public "$dir/a2.json")/v1/completions" \
    -H "Authorization: Bearer $LIMPETWEIR_KEY" -H 'Content-Type: application/json' \
    -d '{"model":"small","prompt":"Which last fits size 42?","max_tokens":32,"stream":true}')
[ "$(grep -c '^data: {' <<<"$events")" -gt 1 ] || fail "the answer was not streamed"
grep -q '^data: \[DONE\]' <<<"$events" || fail "the stream has no end marker"

say "a plain service"
curl -sSf -X PUT "http://$(field public "$dir/a3.json")/services/tank-readings/tanks/7" \
    -H "Authorization: Bearer $LIMPETWEIR_KEY" -d '{"litres":1200}'
echo

say "a refused key"
if LIMPETWEIR_KEY=no-such-key caller complete --model small "Hello" 2>"$dir/refused.txt"; then
    fail "an unknown key was accepted"
fi
cat "$dir/refused.txt"
grep -qi 'not-run\|not run' "$dir/refused.txt" || fail "the refusal does not say that nothing ran"

say "a batch job of $ITEMS items whose owner is killed"
for n in $(seq "$ITEMS"); do
    echo "{\"id\":\"quote-$n\",\"prompt\":\"Draft export quote number $n\",\"max_tokens\":200}"
done >"$dir/items.jsonl"
caller --json job submit "$dir/items.jsonl" --service chat --model small --deadline 1h \
    --idempotency-key evening-quotes >"$dir/job.json"
job=$(sed -n 's/.*"id": *"\([^"]*\)".*/\1/p' "$dir/job.json" | head -n 1)
[ -n "$job" ] || fail "no job id in $(cat "$dir/job.json")"
group="jobs-${job%%-*}"
holder=$(curl -sSf "http://$(field admin "$dir/a1.json")/admin/status" \
    -H "Authorization: Bearer $OPERATOR_KEY" |
    tr '{' '\n' | grep "\"group\":\"$group\"" | sed -n 's/.*"holder":"\([^"@]*\).*/\1/p')
[ -n "$holder" ] || fail "no owner of $group"
for _ in $(seq 200); do
    completed=$(caller --json job status "$job" | sed -n 's/.*"completed": *\([0-9]*\).*/\1/p' | head -n 1)
    [ "${completed:-0}" -gt 0 ] && break
    sleep 0.1
done
[ "${completed:-0}" -gt 0 ] || fail "no item completed"
[ "$completed" -lt "$ITEMS" ] || fail "the job ended before its owner could be killed"
echo "killing $holder, the owner of $group, after $completed items"
victim=pid_$holder
kill -KILL "${!victim}"
caller --timeout 60s job watch "$job"
caller job results "$job" >"$dir/results.jsonl"
count=$(wc -l <"$dir/results.jsonl")
unique=$(sed -n 's/.*"id": *"\(quote-[0-9]*\)".*/\1/p' "$dir/results.jsonl" | sort -u | wc -l)
failed=$(grep -c '"failed"' "$dir/results.jsonl" || true)
echo "$count results, $unique different items, $failed failed"
[ "$count" -eq "$ITEMS" ] && [ "$unique" -eq "$ITEMS" ] && [ "$failed" -eq 0 ] ||
    fail "not every item completed exactly once"

say "graceful stop"
for name in a1 a2 a3; do
    [ "$name" = "$holder" ] && continue
    pid=pid_$name
    kill -TERM "${!pid}"
    wait "${!pid}" || fail "$name did not stop gracefully"
    echo "$name stopped"
done
say "all seen"
