#!/usr/bin/env bash
# run-case.sh N: runs the driver of case N. It starts filbertshift-gatewayd as
# the deploy file does, with settings in a temporary folder, and ends it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
case=$1
program=$PWD/target/filbertshift-gatewayd
driver=$PWD/review/bin/case-$case
if [ ! -x "$program" ] || [ ! -x "$driver" ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 "$driver" "$program" "$folder" \
  "$PWD/review/$case/record.txt"
status=$?
case $status in
  0 | 1 | 2) exit "$status" ;;
  *)
    echo "the driver ended with status $status"
    exit 2
    ;;
esac
