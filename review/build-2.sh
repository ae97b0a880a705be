#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2, which is not committed.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
go build -o ../../target/review-2/ ./...
