#!/bin/sh
# Runs the case and writes record.txt beside this script. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. Before it: the build of deploy/balancer.toml and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x review/bin/second ] || { echo "review/bin/second is not there: run review/build-2.sh"; exit 2; }
exec review/bin/second planned-end "$folder/record.txt"
