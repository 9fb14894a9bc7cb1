#!/usr/bin/env bash
# Builds the stand-ins of the review's cases; needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
cargo build --release --offline --locked
