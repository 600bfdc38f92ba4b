#!/usr/bin/env bash
# Compiles the stand-ins and the cases of this review into a folder of their own.
set -eu
cd "$(dirname "$0")/.."
jdk=$(bin/jdk)
rm -rf target/review-3
mkdir -p target/review-3
"$jdk/bin/javac" --release 21 -d target/review-3 review/stand-ins-3/*.java $(ls review/1[1-5]/*.java)
