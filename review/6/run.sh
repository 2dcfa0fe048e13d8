#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review/standin-2 ] && [ -x target/release/pistachiohall ] || exit 2
RECORD="$folder/record.txt" timeout -k 5 110 target/review/standin-2 timeout
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
