#!/usr/bin/env bash
# Passes all tests. Tests listed in KNOWN-RED.txt are printed and passed over; nothing else is.
set -euo pipefail
cd "$(dirname "$0")"
skips=()
if [ -f KNOWN-RED.txt ]; then
    while IFS=: read -r test cause; do
        [ -n "$test" ] || continue
        echo "known red, passed over: $test:$cause"
        skips+=(--skip "$test")
    done < KNOWN-RED.txt
fi
# Without --exact, an entry would pass over every test whose name contains it.
cargo test --workspace --no-fail-fast -- --exact "${skips[@]}"
