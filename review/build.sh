#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/target/.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/standins
mkdir -p target/standins
javac -d target/standins standins/*.java
