#!/bin/sh
# Usage: [TROUBLE=0] review/N/run.sh
# Needs the build of the deploy file. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 2 115 python3 -B review/2/case.py
