#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = world ] && continue
    g++ -std=c++20 -O2 -Wall -Wextra -Werror -I review/standin "$source" review/standin/world.cpp -levent -o "target/review/$name"
done
