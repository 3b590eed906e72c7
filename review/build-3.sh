#!/bin/sh
# Builds the stand-ins that the scripts of review 3 start. Needs no network: all packages are those
# that the build of the deploy file has fetched.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-3/Cargo.toml --target-dir target/review
