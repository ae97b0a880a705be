#!/usr/bin/env bash
# Shows the case; see claim.txt. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/quartzshelf-platform ] || go build -ldflags=-linkmode=external -o target/ ./cmd/quartzshelf-platform || exit 2
[ -x review/bin/case2 ] || review/build.sh || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 110 review/bin/case2 -daemon target/quartzshelf-platform -dir "$temporary" -record "$folder/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
