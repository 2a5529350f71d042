#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start: one program that needs the standard library alone.
# Run it from the root of the repository, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/site review/common-3/site.rs
