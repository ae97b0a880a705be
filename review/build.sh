#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin, which is not committed.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../bin/ ./case*
