#!/bin/sh
# Builds the stand-ins that the scripts in review/6 and later start, without a network, from
# packages that the build of the deploy file has.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-2/Cargo.toml --target-dir target/review
