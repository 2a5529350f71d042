#!/usr/bin/env bash
# See claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0: the store is neither away nor does it turn anyone away.
# DRILL=0: the store is away and turns the coordinator away, but comes back with all that it had.
# TURN=0: the store comes back from a copy and turns nobody away.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sapphireslipd ] && [ -x target/review-2/world ] || exit 2
exec target/review-2/world drill review/6
