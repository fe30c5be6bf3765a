#!/bin/bash
# Builds the stand-ins that the scripts of this folder start. Run it in the repository's root, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/...
