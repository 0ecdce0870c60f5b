#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts; needs the Rust toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/standins-3/case_*.rs; do
    name=$(basename "$case" .rs)
    rustc --edition 2021 -O -o "target/review-3/$name" "$case"
done
