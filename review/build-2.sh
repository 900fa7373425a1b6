#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/second/main.rs
