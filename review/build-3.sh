#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o target/review-3/standin-3 review/standin-3/*.cpp -levent
