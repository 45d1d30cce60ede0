#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
  --manifest-path review/standins/Cargo.toml --target-dir target/review
