#!/usr/bin/env bash
# Case 1; see claim.txt.
exec "$(dirname "$0")/../run_case.sh" 1
