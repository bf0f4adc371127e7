#!/usr/bin/env bash
# An answer without end, in small pieces: review/4/claim.txt. Writes record.txt.
exec "$(dirname "$0")/../run-case" EndlessPieces review/4
