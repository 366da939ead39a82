#!/bin/bash
# Builds the stand-ins of all cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in review/[0-9]; do
    go build -o "review/bin/case${n##*/}" "./$n"
done
