#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: Python code of the
# standard library only, so there is just byte code to make.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q support-2 6 7 8 9
