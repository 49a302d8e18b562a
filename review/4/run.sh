#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp review/target PlannedStop review/4
