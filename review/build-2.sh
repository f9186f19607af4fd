#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and up start, to a path that is not under version control. It needs the module
# cache that the build of deploy/system.toml has filled.
set -eu
cd "$(dirname "$0")/.."
mkdir -p found/review-2
go build -buildvcs=false -o found/review-2/standin2 ./review/standin2
