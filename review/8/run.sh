#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/swiftvaned ] && [ -x target/review-2/lab ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/lab crash review/8
