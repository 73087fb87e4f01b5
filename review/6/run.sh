#!/usr/bin/env bash
# Runs the case and writes record.txt beside this script. TROUBLE=0 leaves the disruption
# out. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/gatewayd ] || [ ! -x target/review-2/6 ]; then
	echo "build target/gatewayd as the deploy file says, and run review/build-2.sh" >&2
	exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/6 "$here"
