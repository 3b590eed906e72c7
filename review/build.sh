#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/stand"
cargo build --release --locked --offline --target-dir ../../target/review
