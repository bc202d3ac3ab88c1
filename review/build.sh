#!/bin/sh
# Builds the stand-ins that the scripts start, to build/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    review/standin.cpp review/cases.cpp -o build/review/cases.new
mv build/review/cases.new build/review/cases
