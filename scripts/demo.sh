#!/usr/bin/env bash
# Builds what is needed, then runs the main job on stand-ins: `scripts/demo.sh [--keep]`.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --locked --quiet
exec "${CARGO_TARGET_DIR:-target}/debug/cassiagw-load" demo "$@"
