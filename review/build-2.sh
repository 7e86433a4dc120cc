#!/bin/bash
# Builds what the scripts of this review start beside the daemons, from the repository's root: target/review-2/standin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/standin review/standin-2/*.cpp -ljansson
