#!/usr/bin/env bash
# Case 5; see claim.txt.
exec "$(dirname "$0")/../run_case.sh" 5
