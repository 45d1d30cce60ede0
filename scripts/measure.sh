#!/usr/bin/env bash
# Compares cassiagw with two baselines in a load scenario: `scripts/measure.sh SCENARIO SEED`.
# SEED determines the arrivals of requests.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --locked --quiet
exec "${CARGO_TARGET_DIR:-target}/release/cassiagw-load" measure "$@"
