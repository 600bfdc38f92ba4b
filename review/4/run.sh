#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
JAVA_HOME=$(bin/jdk) || exit 2
[ -x target/runtime/bin/java ] && [ -f target/review/CaseStorm.class ] || exit 2
timeout -k 5 110 "$JAVA_HOME/bin/java" -cp target/review CaseStorm review/4
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
