#!/bin/sh
# Builds the stand-ins of the cases in review/4 and later, without a network and without libraries.
set -eu
cd "$(dirname "$0")/.."
cargo build --offline --release --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
