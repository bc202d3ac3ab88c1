#!/bin/sh
# Builds the program with the stand-ins of cases 6 to 10 to target/review/.
# The entry comes from the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    review/standin-2.cpp review/cases-2.cpp -o target/review/cases-2
