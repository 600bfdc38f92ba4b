#!/usr/bin/env bash
# Compiles the stand-ins of the scripts in review/6 to review/10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 review/stand-ins-2/*.java
