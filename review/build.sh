#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' programs into review/target; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -Xlint:all -d review/target review/standins/*.java review/[1-9]/*.java
