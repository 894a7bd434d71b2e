#!/bin/sh
# Exit code: 1 if the rule is broken, 0 if it holds, 2 if the case couldn't be run. TROUBLE=0 runs it without the disruption.
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/case.py"
