#!/usr/bin/env bash
# Builds the cases of review 3 with their stand-ins into target/review-3. Run it
# after the build of the deploy file; it needs no package beyond that build's.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  [[ -e "${source}" ]] || continue
  number=$(basename "$(dirname "${source}")")
  g++ -std=c++20 -O2 -Wall -Wextra -I. "${source}" \
    -o "target/review-3/case-${number}" -pthread
done
