#!/usr/bin/env bash
# Benchmarks a load scenario against two baselines: `scripts/measure.sh SCENARIO SEED`.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --locked --quiet
exec "${CARGO_TARGET_DIR:-target}/release/cassiagw-load" measure "$@"
