#!/bin/sh
# Builds every stand-in that a case starts. The proxy itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/support/Cargo.toml --target-dir target/review
