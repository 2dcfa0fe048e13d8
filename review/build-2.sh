#!/usr/bin/env bash
# Builds the program that plays the cases 6 to 10, against the library that the build of the deploy file
# has made. It uses the project's own stand-ins and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name standin_2 \
  --extern pistachiohall=target/release/libpistachiohall.rlib \
  -L dependency=target/release/deps \
  -o target/review/standin-2 review/standin-2/main.rs
