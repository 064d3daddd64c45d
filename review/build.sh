#!/bin/sh
# Builds every program that the cases start: the supervisors, and the project's stand-in of the registry (case 3).
# The other stand-ins are Python programs of this folder and need no build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked --offline
