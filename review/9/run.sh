#!/usr/bin/env bash
# See claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0: no member crashes, is silent or deaf; the primary is replaced as planned all the same.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sapphireslipd ] && [ -x target/review-2/world ] || exit 2
exec target/review-2/world stale-status review/9
