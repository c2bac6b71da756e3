#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not be played.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run stands in record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/release/clementine-edge ] || exit 2
TROUBLE="${TROUBLE:-1}"
work="$(mktemp -d)" || exit 2
export TROUBLE TMPDIR="$work" CASE_PIDS="$work/pids"
target/review-3/cases rolled-origins review/15 &
cases=$!
# The ids in the file are those of processes that the case has started and not ended.
stop() {
    kill -KILL "$cases" 2>/dev/null
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$CASE_PIDS"
    rm -rf "$work"
    exit 2
}
trap stop INT TERM HUP
wait "$cases"
status=$?
rm -rf "$work"
exit "$status"
