#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. Needs no network: there is no dependency.
set -euo pipefail
cd "$(dirname "$0")/stage-2"
cargo build --release --locked --offline
