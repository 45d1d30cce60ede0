#!/usr/bin/env bash
# Runs the fault-injection soak test once for each seed: scripts/soak.sh SEED...
# SOAK_SECONDS (default 8) and SOAK_DAEMONS (default 3) set the seconds of fault injection for each
# seed and the number of daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked -q -p cassiagwd -p cassiagw-soak
programs="${CARGO_TARGET_DIR:-target}/debug"
exec "$programs/cassiagw-soak" --daemon "$programs/cassiagwd" \
  --seconds "${SOAK_SECONDS:-8}" --daemons "${SOAK_DAEMONS:-3}" "$@"
