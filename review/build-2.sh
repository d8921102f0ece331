#!/bin/sh
# Builds the stand-ins that the scripts review/6 to review/10 start, into build/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build/review-2/review-case review/standin-2/*.cpp
