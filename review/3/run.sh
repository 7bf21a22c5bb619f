#!/usr/bin/env bash
# Case 3; see claim.txt.
exec "$(dirname "$0")/../run_case.sh" 3
