#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
g++ -std=c++20 -O2 -pthread -I. review/kit-2/*.cc -o target/review-2/case_2
