#!/usr/bin/env bash
# A part of a late second answer is taken for the answer to the next request.
# TROUBLE=0 does the same without the disruption.
exec python3 "$(dirname "$0")/case.py"
