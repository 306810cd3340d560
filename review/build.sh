#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
"${RUSTC:-rustc}" --edition 2021 -O -o target/review/standins review/standins/main.rs
