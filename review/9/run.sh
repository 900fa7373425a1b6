#!/bin/sh
exec "$(dirname "$0")/../second/run-case.sh" route "review/9"
