#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. They need a compiler and Debian's nlohmann-json3-dev, both of which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.cpp; do
    [ -f "$main" ] || continue
    number=$(basename "$(dirname "$main")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case$number" "$main" review/standins/*.cpp
done
