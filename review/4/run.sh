#!/usr/bin/env bash
# The program reads TROUBLE: with TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp review/target PlannedStop review/4
