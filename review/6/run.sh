#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/SplitFleet.class ] && [ -x target/runtime/bin/java ] || exit 2
exec "$(bin/jdk)/bin/java" -cp target/review-2 SplitFleet review/6
