#!/bin/sh
# Builds the stand-ins that the scripts start. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --offline --release --manifest-path review/kit/Cargo.toml --target-dir target
