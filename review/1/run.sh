#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
REPOSITORY="$(cd ../.. && pwd)"
export REPOSITORY
stand="$REPOSITORY/target/review/release/stand"
[ -x "$stand" ] && [ -x "$REPOSITORY/target/release/mimosafront" ] || exit 2
exec timeout -k 3 112 "$stand" stop record.txt
