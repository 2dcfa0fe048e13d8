#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/pistachiohall ] && [ -x target/review/standin ] || exit 2
exec target/review/standin forgotten review/5
