#!/bin/sh
# Plays the case once. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/rig sweep-crashers "review/1/record.txt"
