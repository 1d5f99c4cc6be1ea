#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/bin-2/. Needs the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin-2
echo "*" > bin-2/.gitignore
for number in 6 7 8 9 10; do
  source=$number/main.cpp
  if [ -f "$source" ]; then
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -Istandin2 "$source" \
      -o "bin-2/case-$number" -pthread
    echo "built review/bin-2/case-$number"
  fi
done
