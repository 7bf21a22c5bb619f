#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases into target/review.
# Uses only the compiler and the JSON library of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for unit in http platform deployment; do
  g++ -std=c++20 -O1 -I. -c "review/kit/${unit}.cc" \
    -o "target/review/${unit}.o" &
done
wait
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "${source}")")
  g++ -std=c++20 -O1 -I. "${source}" target/review/*.o -pthread \
    -o "target/review/case-${number}"
done
