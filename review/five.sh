#!/bin/sh
# Runs a case five times with the disruption and five times without, and prints the exit codes.
#
#   review/five.sh N
cd "$(dirname "$0")/.." || exit 2
for trouble in 1 0; do
    codes=
    for _ in 1 2 3 4 5; do
        TROUBLE=$trouble "review/$1/run.sh" 2>/dev/null
        codes="$codes $?"
    done
    echo "case $1 TROUBLE=$trouble:$codes"
done
