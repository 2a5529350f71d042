#!/usr/bin/env bash
# See claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0: no process is killed, and the store keeps what it has.
# DRILL=0: all processes are killed, and the store keeps what it has.
# KILL=0: no process is killed, and the store comes back from a copy.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sapphireslipd ] && [ -x target/review-2/world ] || exit 2
exec target/review-2/world drill-recovery review/7
