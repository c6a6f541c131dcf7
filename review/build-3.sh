#!/bin/bash
# Builds the scripts of this review, which hold all stand-ins, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/support-3/*.rs; do
    name=$(basename "$case" .rs)
    [ "$name" = lib ] || rustc --edition 2024 -O -o "target/review-3/$name" "$case"
done
