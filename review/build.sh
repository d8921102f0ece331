#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review/cases review/standin/*.cpp
