#!/usr/bin/env bash
# Builds the stand-ins and checks of cases 6 to 10. They use the standard library only, so this needs
# no network and no package. The program under test is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/support-2/main.rs
