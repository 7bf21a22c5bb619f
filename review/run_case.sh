#!/usr/bin/env bash
# Runs the program of one case: run_case.sh NUMBER
# TROUBLE=0 leaves the disruption out. The daemon's command is the one of the
# deploy file. Exit code: 1 broken, 0 held, 2 could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")/$1" && pwd)
cd "$(dirname "$0")/.."

command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
program=target/review/case-$1
if [[ -z "${command}" || ! -x "${command%% *}" || ! -x "${program}" ]]; then
  echo "build first: the line build of deploy/system.toml, then review/build.sh"
  exit 2
fi
timeout -k 1 118 "${program}" "${command}" "${folder}" "${TROUBLE:-1}"
code=$?
[[ ${code} -le 1 ]] || code=2
exit "${code}"
