#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
program="target/review/case-3"
[[ -x ${program} && -x target/bin/coursepond-platform ]] || exit 2
"${program}" "${PWD}" "${PWD}/review/3/record.txt"
status=$?
[[ ${status} -le 2 ]] || status=2
exit "${status}"
