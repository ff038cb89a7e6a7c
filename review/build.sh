#!/bin/sh
# Builds the stand-ins of the scripts: Python without packages, so only byte code.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
