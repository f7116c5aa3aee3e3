#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0
# it does the same without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-3/lab added review/11/record.txt
