#!/usr/bin/env bash
# Compiles the stand-ins and cases of the review into target/review.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/jdk)
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standin/*.java
