#!/usr/bin/env bash
# Plays the case "forgotten" (review/standin/forgotten.go). 1: the rule was broken, 0: it held, 2: it could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/moleshiftd ] || [ ! -x review/bin/standin ]; then
	echo "build first: the build line of deploy/system.toml, and review/build.sh" >&2
	exit 2
fi
exec review/bin/standin forgotten "review/3/record.txt"
