#!/usr/bin/env bash
# Runs case 15 after the build of deploy/system.toml and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review3/cases3 -case lost-primary -binary target/monsoontiller -record review/15/record.txt
