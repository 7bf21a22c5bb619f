#!/usr/bin/env bash
# Runs one case of review 3: run_case-3.sh NUMBER. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2

number=$1
program=target/review-3/case-${number}
daemon=target/peridotd_platform
if [[ ! -x "${program}" || ! -x "${daemon}" ]]; then
  echo "build first: the deploy file's build, then review/build-3.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
"${program}" "${daemon}" "${folder}" "review/${number}/record.txt" \
  "${TROUBLE:-1}"
code=$?
rm -rf "${folder}"
case ${code} in
  0 | 1) exit "${code}" ;;
  *) exit 2 ;;
esac
