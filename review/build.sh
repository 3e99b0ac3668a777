#!/bin/sh
# Builds the stand-ins of the scripted cases. They are Python files and need the standard library
# alone, so that building means to check that this interpreter runs them.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in glob.glob("common/*.py") + glob.glob("*/case.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("the stand-ins are ready")
CHECK
