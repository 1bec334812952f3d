#!/usr/bin/env bash
# Runs the case "midrestart" of the second review: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/dewhitch ] && [ -x bin/standins-2 ] || { echo "build first: the deploy file's build line, then review/build-2.sh"; exit 2; }
exec bin/standins-2 midrestart review/9
