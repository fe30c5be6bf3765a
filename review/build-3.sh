#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The program of the system comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/cases3
