#!/usr/bin/env bash
# Runs case 11 after the build of deploy/system.toml and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review3/cases3 -case forgotten-promotion -binary target/monsoontiller -record review/11/record.txt
