#!/usr/bin/env bash
# Compiles the stand-ins and the scripted cases of review 2 into target/review-2, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all,-try -d target/review-2 review/standins-2/*.java
