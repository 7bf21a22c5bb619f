#!/usr/bin/env bash
# Case 4; see claim.txt.
exec "$(dirname "$0")/../run_case.sh" 4
