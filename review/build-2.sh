#!/usr/bin/env bash
# Builds the stand-ins and the drivers of cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java $(ls review/{6,7,8,9,10}/*.java 2>/dev/null)
