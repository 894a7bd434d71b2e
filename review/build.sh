#!/bin/sh
# The stand-ins of the cases are Python programs (review/common/fleet.py) that use the standard library only; nothing is built.
exec python3 -m py_compile "$(dirname "$0")/common/fleet.py"
