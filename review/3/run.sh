#!/usr/bin/env bash
# A crash in the middle of an early answer: review/3/claim.txt. Writes record.txt.
exec "$(dirname "$0")/../run-case" CrashInEarlyAnswer review/3
