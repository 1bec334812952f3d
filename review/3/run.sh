#!/bin/sh
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/cases ] && [ -x ../../bin/dewhitch ] || { echo "not built: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec ../bin/cases ceiling "$PWD" "$(cd ../.. && pwd)"
