#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. The daemon itself comes from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked
