#!/usr/bin/env bash
# Starts three instances, two engines, a plain service and the platform stand-ins on loopback, and
# demonstrates a streamed completion, the plain service, a rejected key, a batch job whose owner is
# killed, and a graceful stop. Exits with 0 only if every check passes. Requires cargo, curl and the
# usual shell tools.
set -euo pipefail
cd "$(dirname "$0")"

ITEMS=48
OPERATOR_KEY=demo-operator-key
export LIMPETWEIR_KEY=demo-caller-key

what="the demo"
. scripts/fleet.sh

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
    start_instance "$n"
done
announce 3 engine-1 engine-2 tanks

say "publish a configuration"
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
[ -s "$dir/answer.txt" ] || fail "the online response is empty"
events=$(curl -sSfN "http://$(field public "$dir/a2.json")/v1/completions" \
    -H "Authorization: Bearer $LIMPETWEIR_KEY" -H 'Content-Type: application/json' \
    -d '{"model":"small","prompt":"Which last fits size 42?","max_tokens":32,"stream":true}')
[ "$(grep -c '^data: {' <<<"$events")" -gt 1 ] || fail "the response was not streamed"
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
grep -qi 'not-run\|not run' "$dir/refused.txt" || fail "the error message does not state that nothing ran"

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
owner_pid_name=pid_$holder
kill -KILL "${!owner_pid_name}"
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
