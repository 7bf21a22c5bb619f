#!/usr/bin/env bash
# Runs one case: review/run_case-2.sh NUMBER NAME. The run.sh of the cases 6 to
# 10 call it. TROUBLE=0 leaves the disruption out.
#
# Exit code: 1 if a rule was broken, 0 if not, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."

[[ -x target/peridotd_platform && -x target/review-2/case_2 ]] || {
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
}
# Settings and logs of the daemons. The program ends its daemons, which also
# end with it if it is killed.
folder=$(mktemp -d)
trap 'rm -rf "${folder}"' EXIT
timeout -k 2 110 target/review-2/case_2 "$2" "${folder}" \
  "review/$1/record.txt"
code=$?
[[ ${code} -le 2 ]] || code=2
exit "${code}"
