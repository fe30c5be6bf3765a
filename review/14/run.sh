#!/usr/bin/env bash
# Runs case 14 after the build of deploy/system.toml and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review3/cases3 -case silent-store -binary target/monsoontiller -record review/14/record.txt
