#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gatewayd ] && [ -x target/review/case-5 ] || exit 2
exec timeout 110 target/review/case-5 review/5
