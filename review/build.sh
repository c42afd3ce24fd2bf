#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
cargo build --release --locked --offline
