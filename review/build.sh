#!/bin/sh
# Builds the stand-ins of the cases. They are Python scripts (review/standin.py and review/N/case.py; standard library
# only), so there is nothing to build; this checks that they can be run here.
set -eu
cd "$(dirname "$0")"
python3 - standin.py [0-9]/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
