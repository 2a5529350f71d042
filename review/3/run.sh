#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] && [ -x target/release/sapphireslipd ] || exit 2
exec target/review/case-3 review/3/record.txt
