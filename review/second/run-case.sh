#!/bin/sh
# Runs the case $1 and writes its record into the folder $2; run.sh of each case calls it.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standins ] && [ -x target/release/limpetweird ] || exit 2
folder=$(mktemp -d) || exit 2
runner=
clean_up() {
    [ -z "$runner" ] || kill -9 "$runner" 2>/dev/null
    for pid in $(cat "$folder/pids" 2>/dev/null); do
        kill -9 "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
target/review-2/standins "$1" "$PWD" "$folder" "$2/record.txt" >/dev/null 2>&1 &
runner=$!
wait "$runner"
status=$?
runner=
[ "$status" -le 1 ] || status=2
exit "$status"
