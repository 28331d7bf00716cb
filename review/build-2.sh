#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 4 to 8, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/cases-2/Cargo.toml --target-dir target/review-2
