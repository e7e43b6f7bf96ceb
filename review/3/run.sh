#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/skylarkstand ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/stand --case split --program target/skylarkstand --record review/3/record.txt --trouble=$trouble
