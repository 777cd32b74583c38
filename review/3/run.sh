#!/usr/bin/env bash
# Runs the case. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/ferryfront ] && [ -x review/bin/slowanswer ] || { echo "build first: deploy/balancer.toml and review/build.sh" >&2; exit 2; }
exec timeout --kill-after=2 115 review/bin/slowanswer "$PWD" "$PWD/review/3"
