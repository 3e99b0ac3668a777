#!/bin/bash
# Builds the programs that the scripts of cases 6 to 10 start beside the project's own: stand-ins of
# the store, the replicas and the clients. They need the compiler and its standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -A dead_code -o "target/review-2/${name/_/-}" "$source"
done
