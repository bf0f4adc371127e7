#!/usr/bin/env bash
# A crash in the middle of an early answer: review/3/claim.txt. Writes record.txt.
# TROUBLE=0 runs the same without the crash, and must exit with 0.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case" CrashInEarlyAnswer review/3
