#!/usr/bin/env bash
# Runs case 12 after the build of deploy/system.toml and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review3/cases3 -case unregistered -binary target/monsoontiller -record review/12/record.txt
