#!/usr/bin/env bash
# Builds the stand-ins of review/9 and on to target/review-3/. Run at the root, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -Werror -o target/review-3/stand_in review/9/stand_in.cpp $(pkg-config --cflags --libs jansson)
