#!/usr/bin/env bash
# An answer without end, in small pieces: review/4/claim.txt. Writes record.txt.
# TROUBLE=0 runs the same without the endless answer, and must exit with 0.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case" EndlessPieces review/4
