#!/usr/bin/env bash
# Case 2; see claim.txt.
exec "$(dirname "$0")/../run_case.sh" 2
