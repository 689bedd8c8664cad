#!/usr/bin/env bash
# Builds the stand-ins of the second review into review/standin-2/target. Needs g++ and nlohmann-json, which the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p target
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/world ./*.cpp
