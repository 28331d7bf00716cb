#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, and the programs of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p rosebend-standin
cargo build --release --locked --manifest-path review/harness/Cargo.toml \
    --target-dir target/review
