#!/usr/bin/env bash
# Builds the programs and runs the demo against simulated services: `scripts/demo.sh [--keep]`.
# --keep leaves the deployment running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --locked --quiet
exec "${CARGO_TARGET_DIR:-target}/debug/cassiagw-load" demo "$@"
