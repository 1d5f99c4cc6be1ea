#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# What was sent, answered and run stands in record.txt. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "$0")"
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
record=$PWD/record.txt
timeout -k 5 110 ../bin-2/case-8 "$(cd ../.. && pwd)" "$record" "$temporary"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
