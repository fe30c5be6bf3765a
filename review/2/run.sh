#!/bin/bash
# Replaces a primary as planned work does; no machine reaches the member that is promoted for 5 s.
# With TROUBLE=0 it does the same without the disruption. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case
# could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout -k 5 110 target/review/world -case cut-successor -outage 5000ms -directory "$directory" -record "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
