#!/usr/bin/env bash
# A part of a late second answer is taken for the answer to the next request.
exec python3 "$(dirname "$0")/case.py"
