#!/bin/sh
# Runs the case; writes record.txt beside this file. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/release/pistachiohall ] || exit 2
exec target/review-3/cases roles "review/14/record.txt"
