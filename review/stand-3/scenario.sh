#!/bin/bash
# Runs one scenario of stand-3: scenario.sh FOLDER NAME [ARGUMENT...]
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the scenario could not run.
folder=$(cd "$1" && pwd) || exit 2
shift
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
stand=target/review/release/stand-3
export ROUTER=target/release/mimosafront RECORD="$folder/record.txt"
if [ ! -x "$stand" ] || [ ! -x "$ROUTER" ]; then
    echo "build first: cargo build --release --locked -p mimosafront; sh review/build-3.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# A process group of its own, so that all that the scenario started can be ended.
set -m
"$stand" "$@" > /dev/null &
group=$!
trap 'kill -KILL -- -$group 2> /dev/null; rm -rf "$TMPDIR"' EXIT
( sleep 115; kill -KILL -- -$group ) > /dev/null 2>&1 &
watchdog=$!
disown $watchdog
wait $group
code=$?
kill -KILL -- -$watchdog 2> /dev/null
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
