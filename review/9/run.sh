#!/bin/bash
# Runs the case once and writes what was sent, answered and run to record.txt in this folder. Exit code: 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption. Needs the build of deploy/balancer.toml and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
record=review/9/record.txt
: >"$record" || exit 2
for program in bin/sidecar review/bin/case9; do
    if [ ! -x "$program" ]; then
        echo "could not run: $program is missing, build first" | tee "$record" >&2
        exit 2
    fi
done
exec review/bin/case9 -record "$record"
