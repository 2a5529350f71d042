#!/usr/bin/env bash
# See claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0: nothing is cut off.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sapphireslipd ] && [ -x target/review-2/world ] || exit 2
exec target/review-2/world late-configuration review/10
