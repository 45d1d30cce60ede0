#!/usr/bin/env bash
# Plays the fault soak with the given seeds: scripts/soak.sh SEED...
# SOAK_SECONDS and SOAK_DAEMONS set the length and the number of daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked -q -p cassiagwd -p cassiagw-soak
programs="${CARGO_TARGET_DIR:-target}/debug"
exec "$programs/cassiagw-soak" --daemon "$programs/cassiagwd" \
  --seconds "${SOAK_SECONDS:-8}" --daemons "${SOAK_DAEMONS:-3}" "$@"
