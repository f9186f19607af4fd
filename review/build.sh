#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The system itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/standin ./review/standin
