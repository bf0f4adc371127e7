#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/target/.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/standins
mkdir -p target/standins
javac --add-modules jdk.incubator.foreign -nowarn -d target/standins standins/*.java 2>&1 | grep -v "incubator module" || true
test -s target/standins/review/Harness.class
