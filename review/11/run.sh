#!/usr/bin/env bash
# Plays the case; needs the builds of the deploy file and of review/build-3.sh.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-3/site ] && [ -x target/release/sapphireslipd ] || { echo "not built"; exit 2; }
exec target/review-3/site superseded-primary "$here"
