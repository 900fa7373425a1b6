#!/usr/bin/env bash
# Tests the public HTTP API of one instance with the Python package `openai`.
# Requires cargo, curl, the usual shell tools and Python with the venv module.
set -euo pipefail
cd "$(dirname "$0")/.."

OPERATOR_KEY=check-operator-key
CALLER_KEY=check-caller-key
LIMITED_KEY=check-limited-key
what="the client check"
. scripts/fleet.sh

say "install the client library"
python3 -m venv "$dir/venv"
"$dir/venv/bin/pip" install --quiet --requirement tests/openai/requirements.txt

say "build"
cargo build --quiet --locked --workspace --bins --examples

say "start the stand-ins and an instance"
standin=target/debug/examples/standin
start log "$standin" log
start list "$standin" list --lag-ms 0
start engine-1 "$standin" engine --model small --slots 8
start_instance 1
announce 1 engine-1

cat >"$dir/config.toml" <<CONFIG
[[organisation]]
id = "shoemakers"
rate = 1000.0
burst = 1000.0
services = ["chat"]
[[organisation.key]]
id = "check"
sha256 = "$(digest "$CALLER_KEY")"
[[organisation]]
id = "limited"
rate = 0.2
burst = 2.0
services = ["chat"]
[[organisation.key]]
id = "check"
sha256 = "$(digest "$LIMITED_KEY")"
[[service]]
id = "chat"
kind = "model"
models = ["small"]
backends = ["engine-1"]
$(backend engine-1 chat zone-1)
CONFIG
LIMPETWEIR_OPERATOR_KEY=$OPERATOR_KEY target/debug/limpetweir --admin "$(field admin "$dir/a1.json")" \
    config publish "$dir/config.toml" --base 0

say "check"
CALLER_KEY=$CALLER_KEY LIMITED_KEY=$LIMITED_KEY \
    "$dir/venv/bin/python" tests/openai/check.py "http://$(field public "$dir/a1.json")/v1"
