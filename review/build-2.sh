#!/bin/bash
# Builds the stand-ins of the second review's cases, 6 to 10, into review/bin. All of them are in the case's own program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 6 7 8 9 10; do
    if [ -d "review/$n" ]; then
        go build -o "review/bin/case$n" "./review/$n"
    fi
done
