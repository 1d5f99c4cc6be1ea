#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases in review/ into review/bin/.
# Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  name=${source%/case.cpp}
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -Istandin "$source" \
    -o "bin/case-$name" -pthread
  echo "built review/bin/case-$name"
done
