#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, with the compiler alone: they use no library but std.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/world review/common-2/main.rs
