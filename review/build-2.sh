#!/bin/sh
# Builds the stand-ins of the cases 6 and up, from the standard library only. The program under test is
# built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2021 -O -o "target/review-2/$name" "$source"
done
