#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -Wno-maybe-uninitialized review/standin/main.cpp review/standin/fleet.cpp -o target/review/standin -ljansson -pthread
